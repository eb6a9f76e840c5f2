//! Who a call is made for, and whether the key that it shows may still be used.
//!
//! Invariant: a call is sent to a server only while its key is held by the tenant that the server is
//! told, in a routing table that was in force less than [`AccessTerms::proof_lasts`] ago. The age is
//! that of a question which a controller answered on behalf of the leader, counted from when the
//! question was sent, so no two machines' clocks are compared. The worst case of a key that is taken
//! away: the table was proven to be in force just before the change was acknowledged, and the call is
//! sent `revocation - margin` later; the margin is left for its way to the server.

use std::sync::Arc;
use std::time::Duration;

use courseshed_quota::QuotaTerms;
use courseshed_routing::{KeyDigest, Route, RoutingTable, Tenant, VersionedTable};

use super::call::Credential;
use super::refusal::Refusal;

/// Left of the time within which a key must be out of use, for the way of a call to a server: many
/// times a connection between zones (1 to 5 ms), and what a processor's share may hold a send up.
const SEND_MARGIN: Duration = Duration::from_millis(400);
/// The largest part of that time which the margin may take, where it is short.
const SEND_MARGIN_PART: u32 = 8;
/// An unknown key may be one that was added since the table was proven. In touch, a proof is at most
/// 1.6 s old: one question held for 0.6 s, the next one under way, and the controller's own 0.4 s.
const UNKNOWN_KEY_PROOF: Duration = Duration::from_millis(2500);

/// Another gateway may have a proof.
const NOT_PROVEN_HERE: Refusal = Refusal::NoProof {
    is_everywhere: false,
};

/// What is asked of a gateway whose callers are tenants.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantTerms {
    /// How soon a key must be out of use everywhere once it was taken away; none if a gateway that
    /// hears nothing may go on with what it knows.
    pub revocation: Option<Duration>,
    /// How tenants' requests are counted.
    pub quota: QuotaTerms,
}

/// How long a key may be used without hearing that it still is one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccessTerms {
    /// Age at which the proof of a routing table lapses; none if keys are used for as long as no
    /// newer table is known.
    proof_lasts: Option<Duration>,
}

impl AccessTerms {
    /// Terms under which a key is out of use everywhere within `revocation` of the acknowledgement
    /// that it was taken away.
    #[must_use]
    pub fn strict(revocation: Duration) -> Self {
        let margin = SEND_MARGIN.min(revocation / SEND_MARGIN_PART);
        Self {
            proof_lasts: Some(revocation.saturating_sub(margin)),
        }
    }

    /// Whether a table whose proof is so old may be used to let keys in.
    #[must_use]
    pub fn is_proven(&self, proof_age: Option<Duration>) -> bool {
        match self.proof_lasts {
            Some(lasts) => proof_age.is_some_and(|age| age < lasts),
            None => true,
        }
    }

    /// Who a call is made for.
    ///
    /// # Errors
    /// [`Refusal::UnknownKey`] if no tenant holds the key, [`Refusal::NoProof`] if that, or that one
    /// does, isn't known for sure.
    pub fn identify(
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
                hides_key: true,
            });
        }
        let Credential::Key(key) = credential else {
            return Err(Refusal::UnknownKey);
        };
        let Some(tenant) = table.tenant_of(&key) else {
            let is_sure = proof_age.is_some_and(|age| age < UNKNOWN_KEY_PROOF);
            return Err(if is_sure {
                Refusal::UnknownKey
            } else {
                NOT_PROVEN_HERE
            });
        };
        if !self.is_proven(proof_age) {
            return Err(NOT_PROVEN_HERE);
        }
        Ok(Caller {
            identity: Some(Identity {
                tenant: tenant.clone(),
                key,
            }),
            hides_key: true,
        })
    }

    /// Whether a caller that was let in by the table of one version may be served right now.
    ///
    /// # Errors
    /// [`Refusal::UnknownKey`] if its tenant holds the key no more, [`Refusal::NoProof`] if the table
    /// is not proven.
    pub fn check_again(
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
            return Err(NOT_PROVEN_HERE);
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

/// A tenant, with the key that it is known by.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// The tenant.
    pub tenant: Arc<Tenant>,
    /// Its key.
    pub key: KeyDigest,
}

/// Who a call is made for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Caller {
    /// The tenant; none where calls need no key.
    pub identity: Option<Identity>,
    /// Whether servers must not see the key.
    pub hides_key: bool,
}

impl Caller {
    /// The tenant; none where calls need no key.
    #[must_use]
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        self.identity.as_ref().map(|identity| &identity.tenant)
    }

    /// The tenant's name; none where calls need no key.
    #[must_use]
    pub fn tenant_name(&self) -> Option<&str> {
        self.tenant().map(|tenant| tenant.name.as_str())
    }
}
