/** Log events of all features, by name. */
import * as admission from "../admission/events.js";
import * as agent from "../agent/events.js";
import * as cli from "../cli/events.js";
import * as configuration from "../configuration/events.js";
import * as core from "../core/events.js";
import * as daemon from "../daemon/events.js";
import * as entry from "../entry/events.js";
import * as eventLoop from "../event-loop/events.js";
import * as fairness from "../fairness/events.js";
import * as forwarding from "../forwarding/events.js";
import * as gossip from "../gossip/events.js";
import * as idempotency from "../idempotency/events.js";
import * as manifest from "../manifest/events.js";
import * as membership from "../membership/events.js";
import * as memory from "../memory/events.js";
import * as metrics from "../metrics/events.js";
import * as objectApi from "../object-api/events.js";
import * as peering from "../peering/events.js";
import * as placement from "../placement/events.js";
import * as quarantine from "../quarantine/events.js";
import * as resilience from "../resilience/events.js";
import * as rollout from "../rollout/events.js";
import * as routing from "../routing/events.js";
import * as rpc from "../rpc/events.js";
import * as runtime from "../runtime/events.js";
import * as settings from "../settings/events.js";
import * as storeAccess from "../store-access/events.js";
import * as streams from "../streams/events.js";
import * as weights from "../weights/events.js";

export const events = {
    ...core.events,
    ...settings.events,
    ...manifest.events,
    ...objectApi.events,
    ...rpc.events,
    ...gossip.events,
    ...configuration.events,
    ...membership.events,
    ...admission.events,
    ...fairness.events,
    ...resilience.events,
    ...routing.events,
    ...streams.events,
    ...idempotency.events,
    ...quarantine.events,
    ...rollout.events,
    ...memory.events,
    ...eventLoop.events,
    ...metrics.events,
    ...entry.events,
    ...agent.events,
    ...daemon.events,
    ...cli.events,
    ...storeAccess.events,
    ...peering.events,
    ...forwarding.events,
    ...placement.events,
    ...weights.events,
    ...runtime.events,
} as const;
