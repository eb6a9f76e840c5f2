//! Workloads that come with the program, so that it runs without files beside it.

use super::kind::Workload;

/// A workload that comes with the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BundledWorkload {
    /// Lease quotes, finance comparisons, rate lookups and document status.
    Guild,
    /// Counter quotes, policy conversations, claim alerts and tour batches of rival insurers.
    Hokkaido,
}

impl BundledWorkload {
    /// The file's text, as it stands in `experiments/workloads`.
    pub fn text(self) -> &'static str {
        match self {
            BundledWorkload::Guild => {
                include_str!("../../../../experiments/workloads/guild.toml")
            }
            BundledWorkload::Hokkaido => {
                include_str!("../../../../experiments/workloads/hokkaido.toml")
            }
        }
    }

    /// The workload.
    pub fn workload(self) -> Workload {
        let origin = match self {
            BundledWorkload::Guild => "guild",
            BundledWorkload::Hokkaido => "hokkaido",
        };
        Workload::parse(self.text(), origin).expect("bundled workloads are tested")
    }
}
