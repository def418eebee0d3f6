/** Merges the suspect documents of all processes into the local table of suspects and publishes local crash reports. */
import type * as clocks from "../clock/clock.js";
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";
import type * as boards from "../daemon/board.js";
import type * as gossip from "../gossip/types.js";
import * as suspectDocuments from "./document.js";
import * as records from "./record.js";
import * as tables from "./table.js";
import type * as types from "./types.js";

export const DOCUMENT_PREFIX = "suspect/";
/** Interval in milliseconds at which expired records are removed. They already have no effect, so it may be coarse. */
export const STEP_INTERVAL_MS = 1000;

export interface QuarantineOptions {
    readonly board: boards.Board;
    readonly documents: gossip.Documents;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Called when a request becomes a suspect or is quarantined; the agent then cancels the affected runs. */
    readonly onVerdictEscalated?: (fingerprint: string, verdict: types.Verdict) => void;
}

export class QuarantineController implements controllers.Controller {
    readonly name = "quarantine";
    private table: tables.Table = new Map();
    private readonly subscription: Disposable;

    /** Reads the existing documents, so that a restarted process knows the suspects before its first request. */
    constructor(private readonly options: QuarantineOptions) {
        this.subscription = options.documents.subscribe(DOCUMENT_PREFIX, document => this.mergeDocument(document));
        options.documents.list(DOCUMENT_PREFIX).forEach(document => this.mergeDocument(document));
    }

    async step(): Promise<void> {
        this.replaceTable(tables.prune(this.table, this.options.clock.wallTime()));
        this.writeBoard();
    }

    decide(fingerprint: string): types.Verdict {
        return tables.verdict(this.table, fingerprint, this.options.clock.wallTime());
    }

    /**
     * Records a crash and publishes it before returning. Call it before reporting the failures of the attempts in flight; otherwise an
     * entry could retry the request on another server before any process has published the crash.
     */
    reportCrash(report: tables.CrashReport): void {
        report.inFlight.forEach(fingerprint => this.restorePrunedRecord(fingerprint));
        this.replaceTable(tables.recordCrash(this.table, report, this.options.clock.wallTime()));
        this.options.journal.emit("requests-suspected", { server: report.server, requests: report.inFlight.length });
        for (const fingerprint of new Set(report.inFlight)) {
            this.publish(fingerprint);
            if (this.decide(fingerprint) === "refuse") {
                this.options.journal.emit("request-quarantined", { fingerprint, server: report.server });
            }
        }
    }

    /** Records that a trial completed without a crash. A run beside others is no evidence and must not be reported. */
    reportCompleted(fingerprint: string): void {
        if (this.decide(fingerprint) !== "run-alone") {
            return;
        }
        this.restorePrunedRecord(fingerprint);
        this.replaceTable(tables.recordCompletion(this.table, fingerprint, this.options.clock.wallTime()));
        this.publish(fingerprint);
        this.options.journal.emit("suspect-cleared", { fingerprint });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.subscription[Symbol.dispose]();
    }

    private mergeDocument(document: gossip.Document): void {
        const fingerprint = document.name.slice(DOCUMENT_PREFIX.length);
        const record = suspectDocuments.parse(fingerprint, document.value);
        if (record === undefined) {
            this.options.journal.emit("suspect-document-invalid", { document: document.name });
            return;
        }
        this.replaceTable(tables.mergeRecord(this.table, record, this.options.clock.wallTime()));
        const known = this.table.get(fingerprint);
        // The document lacks crashes or clearances known here, because another process published concurrently.
        if (known !== undefined && records.version(known) > document.version) {
            this.publish(fingerprint);
        }
    }

    /**
     * Restores a record that was pruned from the table from its document. Without it, the version of a new record would
     * start over and lose against the old document.
     */
    private restorePrunedRecord(fingerprint: string): void {
        const document = this.options.documents.get(DOCUMENT_PREFIX + fingerprint);
        if (document !== undefined && !this.table.has(fingerprint)) {
            this.mergeDocument(document);
        }
    }

    private publish(fingerprint: string): void {
        const record = this.table.get(fingerprint);
        if (record !== undefined) {
            this.options.documents.publish({
                name: DOCUMENT_PREFIX + fingerprint,
                version: records.version(record),
                value: records.value(record),
            });
        }
    }

    private replaceTable(table: tables.Table): void {
        const before = this.table;
        this.table = table;
        if (table === before) {
            return;
        }
        this.writeBoard();
        const wallTime = this.options.clock.wallTime();
        for (const fingerprint of table.keys()) {
            const verdict = tables.verdict(table, fingerprint, wallTime);
            if (SEVERITY[verdict] > SEVERITY[tables.verdict(before, fingerprint, wallTime)]) {
                this.options.onVerdictEscalated?.(fingerprint, verdict);
            }
        }
    }

    private writeBoard(): void {
        const suspects = tables.suspects(this.table, this.options.clock.wallTime());
        if (suspects.size > 0 || this.options.board.read("suspects").size > 0) {
            this.options.board.write("suspects", suspects);
        }
    }
}

/** Order of the verdicts; a higher one is stricter. */
const SEVERITY: Readonly<Record<types.Verdict, number>> = { "run": 0, "run-alone": 1, "refuse": 2 };
