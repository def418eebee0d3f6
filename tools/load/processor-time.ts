/** Processor time and memory of a process, from the proc file system. */
import * as fs from "node:fs/promises";

/** Kernel clock ticks per second; Linux always reports 100 to user space. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_PAGE = 4096;
/** Positions of the fields after the command name in `/proc/PID/stat`. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const RESIDENT_PAGES_FIELD = 21;

export interface Usage {
    /** User and system time since the start of the process, in seconds. */
    readonly processorSeconds: number;
    readonly residentBytes: number;
}

export async function readUsage(pid: number): Promise<Usage> {
    const text = await fs.readFile(`/proc/${pid}/stat`, "utf8");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return {
        processorSeconds: (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])) / TICKS_PER_SECOND,
        residentBytes: Number(fields[RESIDENT_PAGES_FIELD]) * BYTES_PER_PAGE,
    };
}
