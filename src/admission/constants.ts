/** Durations and sizes of the admission budget protocol. */

/** Maximum time between sending an acquire call and using its grant. */
export const GRANT_VALIDITY_MS = 100;

/** Minimum validity of a grant; a shorter one would often expire during a round trip between data centres. */
export const MINIMUM_GRANT_VALIDITY_MS = 20;

export const RENEWAL_INTERVAL_MS = 200;

/** Duration of a lease, counted by the primary from sending a renewal that the standby confirms. */
export const LEASE_MS = 1000;

/** Time that other processes wait for a lease to end; 5% covers the drift between two clocks. */
export const LEASE_WITH_MARGIN_MS = LEASE_MS * 1.05;

/** Timeout of a renewal, after which the next one may be sent. */
export const RENEWAL_TIMEOUT_MS = 150;

/** Time without a message from a holder after which its liveness is probed; longer than one renewal interval. */
export const PROBE_AFTER_SILENCE_MS = 300;

export const PROBE_INTERVAL_MS = 200;

/** Interval at which the candidates of a group probe its holders. */
export const CANDIDATE_PROBE_INTERVAL_MS = 1000;

/** Time after which a new standby that has never replied is replaced; until then the primary grants alone. */
export const NEW_STANDBY_TIMEOUT_MS = 3000;

/** Minimum time between two attempts to change the holders of a group. */
export const WRITE_INTERVAL_MS = 200;

/** Maximum time that an acquire call waits for a larger reservation. */
export const MAXIMUM_DEFERRAL_MS = 50;

/** The refill within this time bounds the reservation beyond current demand, and so the tokens a takeover loses. */
export const RESERVATION_HORIZON_MS = 300;

/** Retry delay sent to an entry when the process can't grant at the moment. */
export const RETRY_DELAY_MS = 20;

/** Default number of customer groups. */
export const DEFAULT_GROUP_COUNT = 16;

/** Names of the store object and of the gossip document that contain the holders. */
export const HOLDERS_OBJECT = "budgets/holders";
export const HOLDERS_DOCUMENT = "budget-holders";
