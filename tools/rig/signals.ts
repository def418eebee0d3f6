/** Which signals a process takes. */
import * as fs from "node:fs";

/** Bit of SIGHUP in the masks of /proc. */
const RELOAD_BIT = 1n;

/** Whether a process has a handler for SIGHUP; one that has none yet is ended by it. */
export function takesReload(pid: number): boolean {
    try {
        const caught = /SigCgt:\s+([0-9a-f]+)/.exec(fs.readFileSync(`/proc/${pid}/status`, "latin1"))?.[1];
        return caught !== undefined && (BigInt(`0x${caught}`) & RELOAD_BIT) !== 0n;
    }
    catch {
        return false;
    }
}
