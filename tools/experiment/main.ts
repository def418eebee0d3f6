/** Runs each policy on each scenario in worker processes and prints the results; `--write` also updates docs/. */
import * as processes from "node:child_process";
import * as fs from "node:fs";
import * as url from "node:url";
import * as policies from "./policies.js";
import * as report from "./report.js";
import * as simulation from "./simulation.js";
import * as workloads from "./workload.js";

const WORKER_COUNT = 6;
/** Disjoint from seeds 1 to 4, on which the parameters of the policy were tuned. */
const SEEDS = Array.from({ length: 10 }, (_, index) => 101 + index);

function runTask(task: report.Task): report.Result {
    const workload = workloads.WORKLOADS[task.workload];
    const arrivals = workloads.arrivals(workload, task.scenario, task.seed);
    const measures = policies.ALL.map(policy => simulation.run(workload, task.scenario, arrivals, policy, task.seed));
    return { ...task, measures };
}

/** Starts a worker process that runs tasks until none are left. Rejects when the worker fails. */
function runWorker(tasks: report.Task[], results: report.Result[]): Promise<void> {
    const worker = processes.fork(url.fileURLToPath(import.meta.url), process.argv.slice(2));
    return new Promise((resolve, reject) => {
        const sendNextTask = () => tasks.length > 0 ? worker.send(tasks.shift() as report.Task) : worker.disconnect();
        worker.on("message", result => {
            results.push(result as report.Result);
            sendNextTask();
        });
        worker.on("exit", code => code === 0 ? resolve() : reject(new Error(`worker exited with ${code}`)));
        sendNextTask();
    });
}

if (process.send === undefined) {
    const tasks = (["falikep", "kremsau"] as const).flatMap(workload =>
        workloads.SCENARIOS.flatMap(scenario => SEEDS.map((seed): report.Task => ({ workload, scenario, seed })))
    );
    const results: report.Result[] = [];
    const order = tasks.map(task => JSON.stringify(task));
    const position = ({ workload, scenario, seed }: report.Task) =>
        order.indexOf(JSON.stringify({ workload, scenario, seed }));
    await Promise.all(Array.from({ length: WORKER_COUNT }, () => runWorker(tasks, results)));
    results.sort((left, right) => position(left) - position(right));
    const text = report.markdown(results, SEEDS);
    console.log(text);
    if (process.argv.includes("--write")) {
        const names = policies.ALL.map(policy => policy.name);
        fs.writeFileSync("docs/experiment.md", text);
        fs.writeFileSync(
            "docs/experiment.json",
            `${JSON.stringify({ seeds: SEEDS, policies: names, results }, undefined, 1)}\n`,
        );
        fs.writeFileSync("docs/experiment.svg", await report.svg(results));
    }
}
else {
    process.on("message", task => process.send?.(runTask(task as report.Task)));
}
