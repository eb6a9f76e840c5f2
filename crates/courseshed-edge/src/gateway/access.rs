//! Authenticates calls and checks that their API keys are still valid.
//!
//! Invariant: a call is sent to a server only while its key belongs to the tenant that is named to
//! the server, according to a routing table proven current less than [`AccessPolicy::proof_ttl`] ago.
//! The age of the proof is measured from when this gateway sent the request that a controller
//! answered on behalf of the leader, so no clocks of different machines are compared. In the worst
//! case the proof was issued just before a revocation was acknowledged, and the call is sent
//! `revocation - margin` later; the margin covers its way to the server.

use std::sync::Arc;
use std::time::Duration;

use courseshed_quota::QuotaPolicy;
use courseshed_routing::{KeyDigest, Route, RoutingTable, Tenant, VersionedTable};

use super::call::Credential;
use super::refusal::Refusal;

/// Part of the revocation time reserved for the delivery of a call to its server, including
/// scheduling delays of the process. Many times the latency between zones (1 to 5 ms).
const SEND_MARGIN: Duration = Duration::from_millis(400);
/// Divisor of the revocation time that bounds the margin.
const SEND_MARGIN_DIVISOR: u32 = 8;
/// Maximum age of the proof for which an unknown key is rejected; with an older one, the key may
/// have been added since. Exceeds the age of the proof of a connected gateway, which is at most 1.6 s:
/// one poll held for 0.6 s, the next one in flight, and 0.4 s at the controller.
const UNKNOWN_KEY_MAX_PROOF_AGE: Duration = Duration::from_millis(2500);

/// Another gateway may have fresh proof.
const NO_LOCAL_PROOF: Refusal = Refusal::NoProof {
    is_everywhere: false,
};

/// Settings of a gateway that authenticates tenants.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Time within which a revoked key is rejected everywhere; `None` if a disconnected gateway may
    /// keep using its last routing table.
    pub revocation: Option<Duration>,
    /// Quota settings.
    pub quota: QuotaPolicy,
}

/// How long keys are accepted without fresh proof that the routing table is current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccessPolicy {
    /// Age at which the proof of a routing table expires; `None` if the last known table never
    /// expires.
    proof_ttl: Option<Duration>,
}

impl AccessPolicy {
    /// The policy under which a revoked key is rejected everywhere within `revocation` of the
    /// acknowledgement of its removal.
    #[must_use]
    pub fn strict(revocation: Duration) -> Self {
        let margin = SEND_MARGIN.min(revocation / SEND_MARGIN_DIVISOR);
        Self {
            proof_ttl: Some(revocation.saturating_sub(margin)),
        }
    }

    /// Whether a routing table with a proof of this age may be used to accept keys.
    #[must_use]
    pub fn is_proven(&self, proof_age: Option<Duration>) -> bool {
        match self.proof_ttl {
            Some(ttl) => proof_age.is_some_and(|age| age < ttl),
            None => true,
        }
    }

    /// Authenticates a call.
    ///
    /// # Errors
    /// [`Refusal::UnknownKey`] if the key belongs to no tenant, [`Refusal::NoProof`] if the proof
    /// is too old to tell.
    pub fn authenticate(
        &self,
        credential: Credential,
        route: &Route,
        table: &RoutingTable,
        proof_age: Option<Duration>,
    ) -> Result<Caller, Refusal> {
        if table.tenants.is_none() {
            return Ok(Caller::default());
        }
        if route.is_public {
            return Ok(Caller {
                identity: None,
                strips_key: true,
            });
        }
        let Credential::Key(key) = credential else {
            return Err(Refusal::UnknownKey);
        };
        let Some(tenant) = table.tenant_of(&key) else {
            let is_sure = proof_age.is_some_and(|age| age < UNKNOWN_KEY_MAX_PROOF_AGE);
            return Err(if is_sure {
                Refusal::UnknownKey
            } else {
                NO_LOCAL_PROOF
            });
        };
        if !self.is_proven(proof_age) {
            return Err(NO_LOCAL_PROOF);
        }
        Ok(Caller {
            identity: Some(Identity {
                tenant: tenant.clone(),
                key,
            }),
            strips_key: true,
        })
    }

    /// Whether a caller authenticated by the table `version` may still be served.
    ///
    /// # Errors
    /// [`Refusal::UnknownKey`] if the key no longer belongs to the tenant, [`Refusal::NoProof`] if
    /// the proof has expired.
    pub fn recheck(
        &self,
        caller: &Caller,
        version: u64,
        now: &VersionedTable,
        proof_age: Option<Duration>,
    ) -> Result<(), Refusal> {
        let Some(identity) = &caller.identity else {
            return Ok(());
        };
        if !self.is_proven(proof_age) {
            return Err(NO_LOCAL_PROOF);
        }
        if now.version == version || now.table.tenants.is_none() {
            return Ok(());
        }
        let holder = now.table.tenant_of(&identity.key);
        if holder.is_some_and(|holder| holder.name == identity.tenant.name) {
            return Ok(());
        }
        Err(Refusal::UnknownKey)
    }
}

/// An authenticated tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// The tenant.
    pub tenant: Arc<Tenant>,
    /// The key it authenticated with.
    pub key: KeyDigest,
}

/// The caller of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Caller {
    /// The tenant; `None` if the fleet requires no keys.
    pub identity: Option<Identity>,
    /// Whether the key is removed before forwarding.
    pub strips_key: bool,
}

impl Caller {
    /// The tenant; `None` if the fleet requires no keys.
    #[must_use]
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        self.identity.as_ref().map(|identity| &identity.tenant)
    }

    /// The tenant's name; `None` if the fleet requires no keys.
    #[must_use]
    pub fn tenant_name(&self) -> Option<&str> {
        self.tenant().map(|tenant| tenant.name.as_str())
    }
}
