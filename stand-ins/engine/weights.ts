/** Loaded weights of the engine stand-in and the orders that load or unload weights. */
import * as undici from "undici";
import * as batch from "./batch.js";
import type * as settings from "./settings.js";

export interface Order {
    readonly fencing_number: number;
    readonly kind: "load-weights" | "unload-weights";
    readonly model: string;
    readonly weights_version: string;
}

/** Returns `model@version`. */
export function weightsName(model: string, weightsVersion: string): string {
    return `${model}@${weightsVersion}`;
}

export class LoadedWeights {
    private readonly names: Set<string>;
    private highestFencingNumber = 0;

    constructor(private readonly currentSettings: () => settings.Settings) {
        this.names = new Set(currentSettings().weights);
    }

    has(weights: string): boolean {
        return this.names.has(weights);
    }

    list(): readonly string[] {
        return [...this.names];
    }

    /** Executes an order and resolves when it is complete. Resolves to `false` if its fencing number is outdated. */
    async execute(order: Order): Promise<boolean> {
        if (this.currentSettings().checks_fencing && order.fencing_number < this.highestFencingNumber) {
            return false;
        }
        this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencing_number);
        const weights = weightsName(order.model, order.weights_version);
        if (order.kind === "unload-weights") {
            this.names.delete(weights);
        }
        else if (!this.names.has(weights)) {
            await this.load(weights);
            this.names.add(weights);
        }
        return true;
    }

    private async load(weights: string): Promise<void> {
        const { weight_store: store, weights_load_ms: loadMs } = this.currentSettings();
        if (store === undefined) {
            await batch.sleep(loadMs);
            return;
        }
        const headers = { "content-type": "application/json" };
        const body = JSON.stringify({ weights });
        const response = await undici.request(`${store}/v1/loads`, { method: "POST", headers, body });
        const startedLoad = await response.body.json() as { readonly id: string; readonly slowdown: number; };
        await batch.sleep(loadMs * startedLoad.slowdown);
        const ended = await undici.request(`${store}/v1/loads/${startedLoad.id}`, { method: "DELETE" });
        await ended.body.dump();
    }
}
