/**
 * Bundles the platform program into a few files below target/, since the platform charges startup time in full. Usage:
 * `bundle-platform.mjs [FOLDER]`. Plain JavaScript, so that it needs no other package than esbuild.
 */
import * as esbuild from "esbuild";
import * as path from "node:path";
import * as url from "node:url";
import * as publication from "./build/publication.mjs";

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "..");
const target = path.resolve(process.argv[2] ?? path.join(ROOT, "target"));

/** @type {esbuild.BuildOptions} */
const OPTIONS = {
    absWorkingDir: ROOT,
    outdir: target,
    bundle: true,
    platform: "node",
    target: "node20",
    minify: true,
    legalComments: "none",
    logLevel: "warning",
    write: false,
};
/** The program, as modules of which each role loads its own. Their names depend on their contents. */
const program = await esbuild.build({
    ...OPTIONS,
    entryPoints: ["platform/program.ts"],
    entryNames: "[name]-[hash]",
    format: "esm",
    splitting: true,
    outExtension: { ".js": ".mjs" },
    metafile: true,
});
const programFile =
    Object.entries(program.metafile.outputs).find(([, output]) => output.entryPoint === "platform/program.ts")[0];

/**
 * The file that is started. Node.js runs a CommonJS script as soon as it has read it, while a module waits for its loader:
 * a signal in between would end the process.
 */
const entry = await esbuild.build({
    ...OPTIONS,
    entryPoints: { ibisstep: "platform/main.ts" },
    format: "cjs",
    plugins: [{
        name: "program",
        setup: build =>
            build.onResolve({ filter: /\/program\.js$/ }, () => {
                return { path: `./${path.basename(programFile)}`, external: true };
            }),
    }],
});
const modules = program.outputFiles.map(file => ({ name: path.basename(file.path), contents: file.contents }));
/** The earlier name of that file. */
const former = { name: "ibisstep.js", contents: Buffer.from('import "./ibisstep.cjs";\n') };
publication.publish(target, [...modules, former, { name: "ibisstep.cjs", contents: entry.outputFiles[0].contents }]);
