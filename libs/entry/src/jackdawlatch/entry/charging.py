"""Determines which kind of work a request is charged to."""

from jackdawlatch.model import presets, records, shares, work

COMMON_TEAM = 'default'


def charged_kind(kind: work.Kind, preset: presets.Preset) -> work.Kind:
    """Return the kind whose share a request of ``kind`` uses.

    Each team has its own share, so callers could get more by making up team
    names.  Teams that the preset does not name are therefore charged to one
    common team, unless the preset names no team at all.
    """
    teams_with_share = {share.team for share in preset.shares} - {
        shares.WILDCARD
    }
    known_teams = teams_with_share | preset.quotas_by_team.keys()
    if not known_teams or kind.team in known_teams:
        return kind
    return records.replace(kind, team=COMMON_TEAM)
