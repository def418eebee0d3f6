/** Loaded weights of the engine, and the orders that change them. */
import * as undici from "undici";
import * as batch from "./batch.js";
import type * as settings from "./settings.js";

export interface Order {
    readonly fencing_number: number;
    readonly kind: "load-weights" | "unload-weights";
    readonly model: string;
    readonly weights_version: string;
}

export function name(model: string, weightsVersion: string): string {
    return `${model}@${weightsVersion}`;
}

export class Weights {
    private readonly loaded: Set<string>;
    private highestFencingNumber = 0;

    constructor(private readonly current: () => settings.Settings) {
        this.loaded = new Set(current().weights);
    }

    has(weights: string): boolean {
        return this.loaded.has(weights);
    }

    list(): readonly string[] {
        return [...this.loaded];
    }

    /** Carries out an order and returns when it is complete; false when its fencing number is old. */
    async order(order: Order): Promise<boolean> {
        if (this.current().checks_fencing && order.fencing_number < this.highestFencingNumber) {
            return false;
        }
        this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencing_number);
        const weights = name(order.model, order.weights_version);
        if (order.kind === "unload-weights") {
            this.loaded.delete(weights);
        }
        else if (!this.loaded.has(weights)) {
            await this.load(weights);
            this.loaded.add(weights);
        }
        return true;
    }

    private async load(weights: string): Promise<void> {
        const { weight_store: store, weights_load_ms: duration } = this.current();
        if (store === undefined) {
            await batch.sleep(duration);
            return;
        }
        const headers = { "content-type": "application/json" };
        const body = JSON.stringify({ weights });
        const response = await undici.request(`${store}/v1/loads`, { method: "POST", headers, body });
        const ticket = await response.body.json() as { readonly id: string; readonly slowdown: number; };
        await batch.sleep(duration * ticket.slowdown);
        const end = await undici.request(`${store}/v1/loads/${ticket.id}`, { method: "DELETE" });
        await end.body.dump();
    }
}
