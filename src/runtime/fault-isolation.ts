/** Keeps a process running after an unexpected error in one of its operations. */
import type * as event from "../core/event.js";

/** The part of `process` that reports errors nobody has handled. */
export interface ErrorSource {
    on(event: "uncaughtException" | "unhandledRejection", listener: (error: unknown) => void): unknown;
}

/** Logs errors that nobody has handled instead of ending the process, on which the calls of many callers depend. */
export function isolateErrors(source: ErrorSource, journal: event.Journal): void {
    const report = (error: unknown) => {
        const code = (error as NodeJS.ErrnoException | undefined)?.code;
        journal.emit("internal-error", { reason: error instanceof Error ? error.stack : String(error), code });
    };
    source.on("uncaughtException", report);
    source.on("unhandledRejection", report);
}
