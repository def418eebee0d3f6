/** Process of the instance list stand-in. */
import * as standIns from "../process.js";
import * as instanceList from "./instance-list.js";

await standIns.run("instance-list", instanceList.createInstanceList);
