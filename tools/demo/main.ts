/** Runs the samples on a small deployment. Without `--exit` the deployment runs until it is interrupted. */
import * as deployments from "../support/deployment.js";
import * as plans from "./plan.js";
import * as samples from "./samples.js";

async function main(): Promise<void> {
    await using deployment = await deployments.Deployment.start(plans.plan);
    const rows: samples.Row[] = [];
    for (const sample of samples.samples) {
        rows.push(...await sample(deployment));
    }
    print(rows);
    if (process.argv.includes("--exit")) {
        console.log("all samples returned the expected responses");
        return;
    }
    const entry = deployment.entries[0];
    console.log(`\nentry: http://${entry.httpAddress}/v1\nkey:   ${deployment.keys.get(plans.LUNCH_CLUB)}\n`);
    console.log(`models: ${plans.MENU_MODEL}, ${plans.LAYOUT_MODEL}; stop with Ctrl-C`);
    await new Promise<void>(resolve => {
        process.once("SIGINT", () => resolve());
        process.once("SIGTERM", () => resolve());
    });
}

function print(rows: readonly samples.Row[]): void {
    const width = (column: keyof samples.Row) => Math.max(...rows.map(row => row[column].length), column.length);
    const [sample, caller] = [width("sample"), width("caller")];
    console.log(`${"sample".padEnd(sample)}  ${"caller".padEnd(caller)}  result`);
    rows.forEach(row => console.log(`${row.sample.padEnd(sample)}  ${row.caller.padEnd(caller)}  ${row.result}`));
}

await main();
