/** Keeps a process running after an unexpected error in one of its operations. */
import type * as event from "../core/event.js";

const UNDESCRIBED = "(cannot be described)";

/** The part of `process` that reports errors nobody has handled. */
export interface ErrorSource {
    on(event: "uncaughtException" | "unhandledRejection", listener: (error: unknown) => void): unknown;
}

/**
 * Logs errors that nobody has handled instead of ending the process, on which the calls of many callers depend. An error
 * while one is logged would end it, so that whatever was thrown is described with care.
 */
export function isolateErrors(source: ErrorSource, journal: event.Journal): void {
    const report = (error: unknown) => {
        try {
            journal.emit("internal-error", describe(error));
        }
        catch {
            journal.emit("internal-error", { reason: UNDESCRIBED });
        }
    };
    source.on("uncaughtException", report);
    source.on("unhandledRejection", report);
}

/** Describes whatever was thrown; its properties may throw, or may be no texts. */
export function describe(error: unknown): event.Fields {
    const stack = read(() => error instanceof Error ? error.stack : undefined);
    const code = read(() => (error as NodeJS.ErrnoException | undefined)?.code);
    return { reason: stack ?? read(() => String(error)) ?? UNDESCRIBED, code };
}

/** The text that `get` returns; undefined if it returns none or throws. */
function read(get: () => unknown): string | undefined {
    try {
        const value = get();
        return typeof value === "string" ? value : undefined;
    }
    catch {
        return undefined;
    }
}
