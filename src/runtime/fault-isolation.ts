/** Keeps a process running after an unexpected error in one of its operations. */
import type * as event from "../core/event.js";

/** System errors after which a process cannot serve: it cannot listen on its addresses. The platform restarts it. */
const FATAL_CODES: ReadonlySet<string> = new Set(["EADDRINUSE", "EADDRNOTAVAIL", "EACCES"]);
const EXIT_FATAL = 1;

/** The part of `process` that reports errors nobody has handled. */
export interface ErrorSource {
    on(event: "uncaughtException" | "unhandledRejection", listener: (error: unknown) => void): unknown;
    exit(code: number): void;
}

/**
 * Logs errors that nobody has handled instead of ending the process, on which the calls of many callers depend. Called
 * once the process serves: an error before that ends it.
 */
export function isolateErrors(source: ErrorSource, journal: event.Journal): void {
    const report = (error: unknown) => {
        const code = (error as NodeJS.ErrnoException | undefined)?.code;
        journal.emit("internal-error", { reason: error instanceof Error ? error.stack : String(error), code });
        if (code !== undefined && FATAL_CODES.has(code)) {
            source.exit(EXIT_FATAL);
        }
    };
    source.on("uncaughtException", report);
    source.on("unhandledRejection", report);
}
