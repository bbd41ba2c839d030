"""The policies that presets may name, as a check of the configuration."""

from jackdawlatch.admission import policies as admission_policies
from jackdawlatch.config import preset_checks
from jackdawlatch.placement import policies as placement_policies
from jackdawlatch.routing import choice

SUPPORTED_POLICIES = preset_checks.Constraints(
    admission=frozenset(admission_policies.POLICIES_BY_NAME),
    balancing=frozenset(choice.BALANCERS_BY_NAME),
    placement=frozenset(placement_policies.names()),
)
