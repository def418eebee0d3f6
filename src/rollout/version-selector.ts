/** Selects the weights version of a request at the entry, before a server is selected. */
import type * as boards from "../daemon/board.js";
import type * as manifest from "../manifest/types.js";
import * as servingPolicies from "./serving-policy.js";
import * as trafficSplitters from "./traffic-splitter.js";
import * as types from "./types.js";

export interface VersionSelectorOptions {
    readonly board: boards.Board;
    /** Milliseconds since the Unix epoch. */
    readonly wallTime: () => number;
    /** Whether a live server has loaded the weights version. */
    readonly isServable: (model: manifest.Model, weightsVersion: string) => boolean;
}

/** Outcome of earlier attempts of a request: none, failed before the first token, or refused as a withdrawn version. */
export type PriorOutcome = "none" | "failed" | "refused";

export class VersionSelector {
    private readonly splitters = new Map<string, trafficSplitters.TrafficSplitter>();

    constructor(private readonly options: VersionSelectorOptions) {}

    /** Selects the version of a new request; must be called once per request, since it spends the rollout's share. */
    choose(model: manifest.Model): string {
        const { board, wallTime, isServable } = this.options;
        const configuration = board.read("configuration");
        const rollouts = board.read("rollouts");
        const rollout = servingPolicies.rolloutOf(configuration, model.name);
        const defaultVersion = servingPolicies.effectiveVersion(configuration, rollouts, model, wallTime());
        if (rollout === undefined) {
            this.splitters.delete(model.name);
            return defaultVersion;
        }
        if (defaultVersion === rollout.to) {
            return isServable(model, rollout.to) ? rollout.to : rollout.from;
        }
        const share = servingPolicies.effectiveShare(rollout, rollouts, wallTime());
        const isNew = share > 0 && this.splitterOf(rollout).assign(share, isServable(model, rollout.to));
        return isNew ? rollout.to : defaultVersion;
    }

    /**
     * Versions for one attempt of a request with the chosen version, in order of preference. A continuation stays on
     * its version unless that was withdrawn. After `refused` the new version is excluded, since this entry may not have
     * received the veto yet. After `failed` the old version is preferred, since each further attempt on the new one
     * would exceed its share.
     */
    versionsFor(model: manifest.Model, chosen: string, priorOutcome: PriorOutcome): readonly string[] {
        const { board, wallTime } = this.options;
        const rollouts = board.read("rollouts");
        const rollout = servingPolicies.rolloutOf(board.read("configuration"), model.name);
        if (rollout === undefined) {
            return this.versionsWithoutRollout(model, chosen);
        }
        const isDone = types.statusOf(rollouts, rollout)?.phase === "done";
        const isWithdrawn = servingPolicies.isWithdrawn(rollout, rollouts, wallTime());
        if (chosen === rollout.to) {
            const isAllowed = !isWithdrawn && priorOutcome !== "refused";
            const both = priorOutcome === "failed" ? [rollout.from, rollout.to] : [rollout.to, rollout.from];
            return isAllowed ? both : [rollout.from];
        }
        // Once the rollout is done the old weights may be unloaded.
        return isDone && !isWithdrawn ? [chosen, rollout.to] : [chosen];
    }

    /**
     * True for the new version of a rollout whose share is below 1. The share limits how many requests can fail on it,
     * and each of them is retried on the old version.
     */
    isCanary(model: string, version: string): boolean {
        const rollouts = this.options.board.read("rollouts");
        const rollout = servingPolicies.rolloutOf(this.options.board.read("configuration"), model);
        const share = rollout === undefined ? 1 : types.statusOf(rollouts, rollout)?.share ?? 0;
        return rollout?.to === version && share < 1;
    }

    /** Versions of a request whose rollout was removed from the manifest; the model may have another version by now. */
    private versionsWithoutRollout(model: manifest.Model, chosen: string): readonly string[] {
        const { board, wallTime } = this.options;
        const configuration = board.read("configuration");
        const current = configuration.models.get(model.name) ?? model;
        const mayStay = servingPolicies.mayRun(configuration, board.read("rollouts"), current, chosen, wallTime());
        return mayStay && chosen !== current.weightsVersion
            ? [chosen, current.weightsVersion]
            : [current.weightsVersion];
    }

    private splitterOf(rollout: manifest.Rollout): trafficSplitters.TrafficSplitter {
        const splitter = this.splitters.get(rollout.model) ?? new trafficSplitters.TrafficSplitter();
        this.splitters.set(rollout.model, splitter);
        return splitter;
    }
}
