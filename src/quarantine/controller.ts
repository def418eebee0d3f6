/** Keeps the table of suspects of a process equal to the documents of all processes, and publishes what it learns. */
import type * as clock from "../clock/clock.js";
import type * as controller from "../core/controller.js";
import type * as event from "../core/event.js";
import type * as boards from "../daemon/board.js";
import type * as gossip from "../gossip/types.js";
import * as records from "./record.js";
import * as tables from "./table.js";
import type * as types from "./types.js";

export const DOCUMENT_PREFIX = "suspect/";
/** Expired suspects have no effect before their removal, so the removal need not be prompt. */
export const STEP_INTERVAL_MS = 1000;

export interface QuarantineParts {
    readonly board: boards.Board;
    readonly documents: gossip.Documents;
    readonly clock: clock.Clock;
    readonly journal: event.Journal;
    /** Called when a request becomes a suspect or is refused; the agent cancels its exposed runs. */
    readonly onWorse?: (fingerprint: string, verdict: types.Verdict) => void;
}

export class QuarantineController implements controller.Controller {
    readonly name = "quarantine";
    private table: tables.Table = new Map();
    private readonly subscription: Disposable;

    /** Reads the documents at once, so that a restarted process knows the suspects before its first request. */
    constructor(private readonly parts: QuarantineParts) {
        this.subscription = parts.documents.subscribe(DOCUMENT_PREFIX, document => this.receive(document));
        parts.documents.list(DOCUMENT_PREFIX).forEach(document => this.receive(document));
    }

    async step(): Promise<void> {
        this.replace(tables.prune(this.table, this.parts.clock.wallTime()));
        this.writeBoard();
    }

    decide(fingerprint: string): types.Verdict {
        return tables.verdict(this.table, fingerprint, this.parts.clock.wallTime());
    }

    /**
     * Records a crash. It is published before this returns; call it before the attempts in flight are answered, so
     * that no entry sends the request on while the crash is known to nobody.
     */
    reportCrash(report: tables.CrashReport): void {
        report.inFlight.forEach(fingerprint => this.refresh(fingerprint));
        this.replace(tables.crashed(this.table, report, this.parts.clock.wallTime()));
        this.parts.journal.emit("requests-suspected", { server: report.server, requests: report.inFlight.length });
        for (const fingerprint of new Set(report.inFlight)) {
            this.publish(fingerprint);
            if (this.decide(fingerprint) === "refuse") {
                this.parts.journal.emit("request-quarantined", { fingerprint, server: report.server });
            }
        }
    }

    /** Records that a trial ran to its end without a crash. Runs beside others prove nothing and are not reported. */
    reportCompleted(fingerprint: string): void {
        if (this.decide(fingerprint) !== "run-alone") {
            return;
        }
        this.refresh(fingerprint);
        this.replace(tables.completed(this.table, fingerprint, this.parts.clock.wallTime()));
        this.publish(fingerprint);
        this.parts.journal.emit("suspect-cleared", { fingerprint });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.subscription[Symbol.dispose]();
    }

    private receive(document: gossip.Document): void {
        const fingerprint = document.name.slice(DOCUMENT_PREFIX.length);
        const record = records.parse(fingerprint, document.value);
        if (record === undefined) {
            this.parts.journal.emit("suspect-document-invalid", { document: document.name });
            return;
        }
        this.replace(tables.merged(this.table, record, this.parts.clock.wallTime()));
        const known = this.table.get(fingerprint);
        // The document lacks facts that this process knows: another process reported at the same time.
        if (known !== undefined && records.version(known) > document.version) {
            this.publish(fingerprint);
        }
    }

    /** Takes up the document of a record that the table has dropped; a version must never start again at 1. */
    private refresh(fingerprint: string): void {
        const document = this.parts.documents.get(DOCUMENT_PREFIX + fingerprint);
        if (document !== undefined && !this.table.has(fingerprint)) {
            this.receive(document);
        }
    }

    private publish(fingerprint: string): void {
        const record = this.table.get(fingerprint);
        if (record !== undefined) {
            this.parts.documents.publish({
                name: DOCUMENT_PREFIX + fingerprint,
                version: records.version(record),
                value: records.value(record),
            });
        }
    }

    private replace(table: tables.Table): void {
        const before = this.table;
        this.table = table;
        if (table === before) {
            return;
        }
        this.writeBoard();
        const wallTime = this.parts.clock.wallTime();
        for (const fingerprint of table.keys()) {
            const verdict = tables.verdict(table, fingerprint, wallTime);
            if (SEVERITY[verdict] > SEVERITY[tables.verdict(before, fingerprint, wallTime)]) {
                this.parts.onWorse?.(fingerprint, verdict);
            }
        }
    }

    private writeBoard(): void {
        const suspects = tables.suspects(this.table, this.parts.clock.wallTime());
        if (suspects.size > 0 || this.parts.board.read("suspects").size > 0) {
            this.parts.board.write("suspects", suspects);
        }
    }
}

const SEVERITY: Readonly<Record<types.Verdict, number>> = { "run": 0, "run-alone": 1, "refuse": 2 };
