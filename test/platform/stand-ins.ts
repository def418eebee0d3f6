/** The stand-ins for the store and the workers of the platform, as tests use them. */
export { pause } from "../../stand-ins/platform/http-stand-in.js";
export { Store } from "../../stand-ins/platform/store.js";
export {
    createWorkerLog,
    type Run,
    Worker,
    type WorkerLog,
    type WorkerOptions,
} from "../../stand-ins/platform/worker.js";
