//! What a host is: its machine type, its zone and whether it is a spot host. Several messages tell that, and some of
//! them may be wrong about it, so each is believed by its source.

use super::host::Host;

/// Who told the attributes of a host, the least reliable first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttributeSource {
    /// The host was named in the response to a provisioning request: it should be what the request asked for.
    ProvisionRequest,
    /// The cloud's host list.
    HostList,
    /// The worker on the host.
    Worker,
}

/// The attributes of a host, which are fixed when it is provisioned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HostAttributes {
    /// Index of the machine type in [`super::ClusterState::machine_types`]; `None` if the cloud does not offer it, or
    /// if the types are not known yet.
    pub(crate) type_index: Option<usize>,
    pub(crate) zone: String,
    pub(crate) is_spot: bool,
}

impl Host {
    /// Takes in the attributes of the host, unless a more reliable source has told them already. Nothing else sets
    /// them.
    pub(super) fn learn_attributes(&mut self, source: AttributeSource, attributes: HostAttributes) {
        if self.attribute_source > Some(source) {
            return;
        }
        let is_changed = self.attribute_source.is_some()
            && (&self.zone, self.is_spot) != (&attributes.zone, attributes.is_spot)
            || self.type_index.is_some()
                && attributes.type_index.is_some()
                && self.type_index != attributes.type_index;
        if is_changed {
            tracing::warn!(
                host = %self.name,
                ?source,
                earlier_source = ?self.attribute_source,
                earlier_zone = self.zone,
                ?attributes,
                "the host is not what an earlier message said"
            );
        }
        self.attribute_source = Some(source);
        self.type_index = attributes.type_index;
        self.zone = attributes.zone;
        self.is_spot = attributes.is_spot;
    }
}
