/**
 * Runs every test file below `src/test` and `platform/test` with Node's test runner, each file in a separate process.
 *
 * @remarks Arguments, if any, are substrings: only files whose path contains one of them run. Files listed in
 * `KNOWN-RED.txt` are excluded, unless `--known-red` is given, with which only they run; `.ci/run` runs them separately.
 * Files in folders named `alone` run one at a time, after all others: they press on processes of their own.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { finished } from "node:stream/promises";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const TEST_FOLDERS = ["src/test", "platform/test"];
const wantsKnownRed = process.argv.includes("--known-red");
const filters = process.argv.slice(2).filter(argument => !argument.startsWith("--"));

function listKnownRed() {
    if (!existsSync(KNOWN_RED_FILE)) {
        return [];
    }
    return readFileSync(KNOWN_RED_FILE, "utf8")
        .split("\n")
        .filter(line => TEST_FOLDERS.some(folder => line.startsWith(`${folder}/`)))
        .map(line => line.split(/[\s:]/)[0]);
}

function listTestFiles() {
    const knownRed = listKnownRed();
    return TEST_FOLDERS
        .flatMap(folder => readdirSync(folder, { recursive: true }).map(name => `${folder}/${name}`))
        .filter(name => name.endsWith("_test.ts"))
        .filter(name => knownRed.includes(name) === wantsKnownRed)
        .filter(name => filters.length === 0 || filters.some(filter => name.includes(filter)))
        .sort();
}

process.execArgv.push("--import", "tsx");
const files = listTestFiles();
if (files.length === 0) {
    console.log("no test file matches");
    process.exit(wantsKnownRed ? 0 : 1);
}

/** Runs test files and prints their results. */
async function runFiles(chosen, concurrency) {
    if (chosen.length === 0) {
        return;
    }
    const stream = run({ files: chosen, concurrency });
    stream.on("test:fail", () => {
        process.exitCode = 1;
    });
    const report = stream.compose(new spec());
    report.pipe(process.stdout, { end: false });
    await finished(report);
}

const isAlone = file => file.includes("/alone/");
await runFiles(files.filter(file => !isAlone(file)), 6);
await runFiles(files.filter(isAlone), 1);
