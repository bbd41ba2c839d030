"""Which kind of work a request is charged to."""

from jackdawlatch.model import presets, records, shares, work

COMMON_TEAM = 'default'


def charged(kind: work.Kind, preset: presets.Preset) -> work.Kind:
    """Return the kind that shares are counted by.

    Each team has a share of its own, so that callers who make up team names
    would take more than theirs: all names that the preset does not know are
    charged to one team together.  A preset that names no team knows all.
    """
    named = {share.team for share in preset.shares} - {shares.ANY}
    known = named | preset.quotas_by_team.keys()
    if not known or kind.team in known:
        return kind
    return records.replace(kind, team=COMMON_TEAM)
