/** What an entry knows of cold servers and evacuated data centres, where the deployment may have them. */
import type * as event from "../core/event.js";
import type * as fleet from "../fleet/types.js";
import type * as coldRates from "../placement/cold-rate.js";
import * as coldServers from "../placement/cold-servers.js";
import * as evacuations from "../placement/evacuations.js";
import type * as serverLimits from "../placement/server-limits.js";
import type * as types from "./types.js";

export interface ConstraintPorts {
    readonly journal: event.Journal;
    readonly settings: Pick<types.ProcessSettings, "coldBounds" | "isFirstStart">;
    readonly now: () => number;
    readonly service: (name: string) => fleet.Service | undefined;
    readonly registeredEntries: () => Pick<coldRates.KnownEntries, "registered" | "hasRead">;
}

export class PlacementConstraints {
    readonly coldServers: coldServers.ColdServers;
    readonly evacuations: evacuations.Evacuations;
    readonly coldLimits: serverLimits.ColdLimits;

    constructor(private readonly ports: ConstraintPorts) {
        const { journal, settings, now, registeredEntries, service } = ports;
        this.coldServers = new coldServers.ColdServers({
            journal,
            bounds: settings.coldBounds,
            coldStart: name => service(name)?.coldStart,
            isFirstStart: settings.isFirstStart,
        });
        this.evacuations = new evacuations.Evacuations({
            journal,
            onReturn: dataCentre => this.coldServers.recordReturn(dataCentre, now()),
        });
        this.coldLimits = {
            limitOf: (server, time) => this.coldServers.limitOf(server, time),
            registeredEntries,
            startedAt: now(),
        };
    }

    adoptEvacuations({ values, invalid }: types.Decoded<string>): void {
        this.evacuations.adopt({ dataCentres: values, unreadable: invalid.map(({ name }) => name) });
    }

    /** Cold servers and evacuated data centres, in the Prometheus text format. */
    render(): string {
        return `ibisstep_cold_servers ${this.coldServers.count(this.ports.now())}\n`
            + `ibisstep_evacuated_data_centres ${this.evacuations.count}\n`;
    }
}
