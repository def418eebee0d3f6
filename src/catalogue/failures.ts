/** Failures of all features, by kind. */
import * as admission from "../admission/failures.js";
import * as agent from "../agent/failures.js";
import * as cli from "../cli/failures.js";
import * as configuration from "../configuration/failures.js";
import * as core from "../core/failures.js";
import * as daemon from "../daemon/failures.js";
import * as entry from "../entry/failures.js";
import * as fairness from "../fairness/failures.js";
import * as forwarding from "../forwarding/failures.js";
import * as gossip from "../gossip/failures.js";
import * as idempotency from "../idempotency/failures.js";
import * as manifest from "../manifest/failures.js";
import * as membership from "../membership/failures.js";
import * as memory from "../memory/failures.js";
import * as metrics from "../metrics/failures.js";
import * as objectApi from "../object-api/failures.js";
import * as peering from "../peering/failures.js";
import * as placement from "../placement/failures.js";
import * as quarantine from "../quarantine/failures.js";
import * as resilience from "../resilience/failures.js";
import * as rollout from "../rollout/failures.js";
import * as routing from "../routing/failures.js";
import * as rpc from "../rpc/failures.js";
import * as runtime from "../runtime/failures.js";
import * as settings from "../settings/failures.js";
import * as storeAccess from "../store-access/failures.js";
import * as streams from "../streams/failures.js";
import * as weights from "../weights/failures.js";

export const failures = {
    ...core.failures,
    ...settings.failures,
    ...manifest.failures,
    ...objectApi.failures,
    ...rpc.failures,
    ...gossip.failures,
    ...configuration.failures,
    ...membership.failures,
    ...admission.failures,
    ...fairness.failures,
    ...resilience.failures,
    ...routing.failures,
    ...streams.failures,
    ...idempotency.failures,
    ...quarantine.failures,
    ...rollout.failures,
    ...memory.failures,
    ...metrics.failures,
    ...entry.failures,
    ...agent.failures,
    ...daemon.failures,
    ...cli.failures,
    ...storeAccess.failures,
    ...forwarding.failures,
    ...peering.failures,
    ...placement.failures,
    ...weights.failures,
    ...runtime.failures,
} as const;
