"""Keys of the platform's store that several libraries read or write."""

CONFIG = 'fleet/config'
MEMBERSHIP_PREFIX = 'fleet/membership/'
