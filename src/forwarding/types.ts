/** Ports and settings of the call path. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as cacheIndexes from "../placement/cache-index.js";
import type * as paces from "../placement/pace.js";
import type * as readings from "../placement/readings.js";
import type * as selection from "../placement/selection.js";
import type * as uses from "../placement/server-use.js";
import type * as trusts from "../placement/trust.js";
import type * as ledgers from "../quota/ledger.js";
import type * as connections from "./connection-pool.js";
import type * as dialects from "./dialect.js";
import type * as views from "./fleet-view.js";
import type * as rooms from "./service-queues.js";
import type * as budgets from "./service-retry-budgets.js";

export interface CallSettings {
    readonly dataCentre: string;
    readonly selection: selection.SelectionSettings;
}

/** Counts of the call path; implemented by the metrics of the process. */
export interface CallMeter {
    finished(
        customer: string,
        route: string,
        status: number,
        elapsedMs: number,
        firstEventMs: number | undefined,
    ): void;
    refused(customer: string, failure: string): void;
}

export interface CallPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly meter: CallMeter;
    readonly dialect: dialects.Dialect;
    readonly view: views.FleetView;
    readonly use: uses.ServerUse;
    readonly caches: cacheIndexes.CacheIndex;
    readonly readings: readings.Readings;
    readonly trust: trusts.ServerTrust;
    readonly paces: paces.PaceTable;
    readonly quotas: ledgers.QuotaLedger;
    readonly budgets: budgets.ServiceBudgets;
    readonly rooms: rooms.WaitingRooms;
    readonly pool: connections.ConnectionPool;
    readonly settings: CallSettings;
    /** The process is ending; connections are closed after their answers. */
    readonly isDraining: () => boolean;
    /** The process ends too soon for new calls. */
    readonly isClosing: () => boolean;
}
