/** Process of the heavy loads: takes them from the rig and plays each until it is over. */
import * as loadKinds from "./load-kinds.js";
import type * as loads from "./loads.js";

process.on("message", ({ id, load }: loads.LoadMessage) => {
    void loadKinds.play(load).then(result => process.send!({ id, result } satisfies loads.LoadReply));
});
process.on("disconnect", () => process.exit(0));
