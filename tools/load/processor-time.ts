/** Processor time and memory of a process, from the proc file system. */
import * as fs from "node:fs/promises";

/** Clock ticks of the kernel per second; fixed on Linux for user space. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_PAGE = 4096;
/** Positions after the command name in `/proc/PID/stat`. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;
const RESIDENT_PAGES = 21;

export interface Usage {
    /** Processor time since the start of the process in seconds. */
    readonly seconds: number;
    readonly residentBytes: number;
}

export async function usageOf(pid: number): Promise<Usage> {
    const text = await fs.readFile(`/proc/${pid}/stat`, "utf8");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return {
        seconds: (Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS])) / TICKS_PER_SECOND,
        residentBytes: Number(fields[RESIDENT_PAGES]) * BYTES_PER_PAGE,
    };
}
