/** Durations and sizes of the budget protocol. */

/** Longest time in milliseconds from sending an acquire call to using its grant. */
export const GRANT_VALIDITY_MS = 100;

/** A grant that lives for a shorter time than this would often be void after a round trip between data centres. */
export const MINIMUM_GRANT_VALIDITY_MS = 20;

export const RENEWAL_INTERVAL_MS = 200;

/** Time that the primary may grant after it sent a renewal that the standby confirmed. */
export const LEASE_MS = 1000;

/** The lease as counted by the process that waits for its end; 5% covers the drift between two clocks. */
export const LEASE_WITH_MARGIN_MS = LEASE_MS * 1.05;

/** A renewal without a reply for this long no longer holds back the next one. */
export const RENEWAL_TIMEOUT_MS = 150;

/** Silence of a holder after which its liveness is probed; longer than one renewal interval. */
export const SILENCE_BEFORE_PROBE_MS = 300;

export const PROBE_INTERVAL_MS = 200;

/** Interval at which agents that hold nothing probe the holders of a group. */
export const CANDIDATE_PROBE_INTERVAL_MS = 1000;

/** A new standby that has never answered is exchanged after this time; the primary grants alone meanwhile. */
export const NEW_STANDBY_PATIENCE_MS = 3000;

/** Pause between two attempts to change the holders of a group. */
export const WRITE_INTERVAL_MS = 200;

/** Longest wait of an acquire call for a larger reservation. */
export const DEFERRAL_LIMIT_MS = 50;

/** Share of a second of the rate that is reserved ahead of demand; it bounds what a takeover forgoes. */
export const RESERVATION_HORIZON_MS = 300;

/** Advice to an entry when the holder can't grant at present. */
export const RETRY_HINT_MS = 20;

export const DEFAULT_GROUPS = 16;

/** Name of the object and of the document of the holders. */
export const HOLDERS_OBJECT = "budgets/holders";
export const HOLDERS_DOCUMENT = "budget-holders";
