/** Chooses the weights version of a request at the entry, before a server is selected. */
import type * as boards from "../daemon/board.js";
import type * as manifest from "../manifest/types.js";
import * as effects from "./effect.js";
import * as shareCounters from "./share-counter.js";
import * as types from "./types.js";

export interface VersionChoiceOptions {
    readonly board: boards.Board;
    /** Milliseconds since the Unix epoch. */
    readonly wallTime: () => number;
    /** Whether a live server has the weights. */
    readonly isServable: (model: manifest.Model, weightsVersion: string) => boolean;
}

/** What an earlier attempt of the same request says of its version. */
export type Experience = "none" | "failed" | "refused";

export class VersionChoice {
    private readonly counters = new Map<string, shareCounters.ShareCounter>();

    constructor(private readonly options: VersionChoiceOptions) {}

    /** Version of a new request; called once per request. */
    choose(model: manifest.Model): string {
        const { board, wallTime, isServable } = this.options;
        const configuration = board.read("configuration");
        const rollouts = board.read("rollouts");
        const rollout = effects.rolloutOf(configuration, model.name);
        const settled = effects.effectiveVersion(configuration, rollouts, model, wallTime());
        if (rollout === undefined) {
            this.counters.delete(model.name);
            return settled;
        }
        if (settled === rollout.to) {
            return isServable(model, rollout.to) ? rollout.to : rollout.from;
        }
        const share = effects.effectiveShare(rollout, rollouts, wallTime());
        const isNew = share > 0 && this.counter(rollout).assign(share, isServable(model, rollout.to));
        return isNew ? rollout.to : settled;
    }

    /**
     * Versions for one attempt of a request that has the given version, best first. A continuation stays on its version
     * unless that was withdrawn. `refused` means that an agent refused the version as withdrawn; the entry may not know
     * the veto yet. `failed` means that the version failed before the first token: the request then starts anew on the
     * old one, since each further attempt on the new one would exceed its share.
     */
    versionsFor(model: manifest.Model, chosen: string, experience: Experience): readonly string[] {
        const { board, wallTime } = this.options;
        const rollouts = board.read("rollouts");
        const rollout = effects.rolloutOf(board.read("configuration"), model.name);
        if (rollout === undefined) {
            return this.versionsWithoutRollout(model, chosen);
        }
        const isDone = types.statusOf(rollouts, rollout)?.phase === "done";
        const isWithdrawn = effects.isWithdrawn(rollout, rollouts, wallTime());
        if (chosen === rollout.to) {
            const isAllowed = !isWithdrawn && experience !== "refused";
            const both = experience === "failed" ? [rollout.from, rollout.to] : [rollout.to, rollout.from];
            return isAllowed ? both : [rollout.from];
        }
        // Once the rollout is done the old weights may be gone.
        return isDone && !isWithdrawn ? [chosen, rollout.to] : [chosen];
    }

    /**
     * True for the new version of a rollout that gets a part of the requests. The share bounds how many requests fail
     * on it, and each of them runs once more on the old version.
     */
    isSampled(model: string, version: string): boolean {
        const rollouts = this.options.board.read("rollouts");
        const rollout = effects.rolloutOf(this.options.board.read("configuration"), model);
        const share = rollout === undefined ? 1 : types.statusOf(rollouts, rollout)?.share ?? 0;
        return rollout?.to === version && share < 1;
    }

    /** The rollout of a request in flight has left the manifest; the model may have another version by now. */
    private versionsWithoutRollout(model: manifest.Model, chosen: string): readonly string[] {
        const { board, wallTime } = this.options;
        const configuration = board.read("configuration");
        const current = configuration.models.get(model.name) ?? model;
        const mayStay = effects.mayRun(configuration, board.read("rollouts"), current, chosen, wallTime());
        return mayStay && chosen !== current.weightsVersion
            ? [chosen, current.weightsVersion]
            : [current.weightsVersion];
    }

    private counter(rollout: manifest.Rollout): shareCounters.ShareCounter {
        const counter = this.counters.get(rollout.model) ?? new shareCounters.ShareCounter();
        this.counters.set(rollout.model, counter);
        return counter;
    }
}
