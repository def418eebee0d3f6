/** Runs the instance list stand-in as a process. */
import * as standIns from "../process.js";
import * as instanceList from "./instance-list.js";

await standIns.run("instance-list", instanceList.createInstanceList);
