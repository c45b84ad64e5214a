/**
 * Builds `target/cactusrack-node.cjs`: the program of one node on the platform. It leaves out the command line, the demo
 * and the API documents, so that a restarted process serves as soon as possible. An optional argument sets another
 * output file.
 */
import { build } from "esbuild";
import { mkdirSync } from "node:fs";
import { dirname } from "node:path";
import { leaveOutNativeAddOns } from "./native-add-ons.mjs";

const outfile = process.argv[2] ?? "target/cactusrack-node.cjs";
mkdirSync(dirname(outfile), { recursive: true });
await build({
    entryPoints: ["platform/main.ts"],
    bundle: true,
    minify: true,
    keepNames: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile,
    logLevel: "warning",
    plugins: [leaveOutNativeAddOns],
    define: { "import.meta.url": "undefined" },
});
