//! A settings tree of the size the project is designed for.

use std::fmt::Write;

/// Tenants below one group of the tree.
const TENANTS_PER_GROUP: u32 = 22;
/// Shares go round in so many steps, so that each change of a tenant makes a difference.
const SHARE_STEPS: u32 = 7;

/// The text of a tree of so many tenants after a number of changes, each of which changed one tenant's share.
pub fn tenant_tree(tenants: u32, changes: u32) -> String {
    let mut text = String::from(
        "models = [\"model-0\", \"model-1\"]\n\n[root]\nwhen_cut_off = \"refuse\"\nmodels.default = \"model-0\"\n\
         budget = { tokens = \"100G\", period = \"1h\" }\n",
    );
    for tenant in 0..tenants {
        if tenant % TENANTS_PER_GROUP == 0 {
            let group = tenant / TENANTS_PER_GROUP;
            let _ = write!(text, "\n[branch.\"group-{group}\"]\nshare = 1\n");
        }
        write_tenant(&mut text, tenant, share_of(tenant, tenants, changes));
    }
    text
}

/// Change n, counted from 1, raises the share of tenant n − 1, modulo the number of tenants.
fn share_of(tenant: u32, tenants: u32, changes: u32) -> u32 {
    let rounds = changes / tenants.max(1);
    let is_changed_again = tenant < changes % tenants.max(1);
    1 + (rounds + u32::from(is_changed_again)) % SHARE_STEPS
}

fn write_tenant(text: &mut String, tenant: u32, share: u32) {
    let group = tenant / TENANTS_PER_GROUP;
    let _ = write!(
        text,
        "\n[branch.\"group-{group}/tenant-{tenant}\"]\nshare = {share}\npriority = {}\n\
         budget = {{ tokens = \"1G\" }}\nkeys = [\"{tenant:064x}\"]\n\
         kinds.quote = {{ aim = \"10s\", worth = 5 }}\n",
        tenant % 10,
    );
}
