/**
 * A lasting job needs a kind of worker that one machine of eight has. The worker on it crashes five times and is back
 * two seconds later each time. Checked: the job is never shown as failed, as none of its runs ended failed (LOST).
 */
import { openDeployment } from "../lib/deployment.mjs";
import { Recorder, sleep, waitUntil } from "../lib/record.mjs";

const ROOT = new URL("../..", import.meta.url).pathname;
const TROUBLE = process.env.TROUBLE !== "0";

/** One crash is an eighth of the workers. */
const MACHINES = 8;
const CAPACITY = { cpu: 64_000, "mem-mb": 131_072, gpu: 0 };
const KIND = "b";
const JOB_ID = "5c0e7a21d94b36f8";
const CRASHES = 5;
/** How long each run goes on before its worker crashes. */
const RUN_MS = 4_000;
const DOWN_MS = 2_000;
const START_LIMIT_MS = 25_000;
const LAST_LOOK_MS = 12_000;
const LOOK_INTERVAL_MS = 500;

async function run(recorder) {
    const ends = [];
    let starts = 0;
    let isRunning = false;
    const deployment = await openDeployment({
        root: ROOT,
        recorder,
        machines: MACHINES,
        capacity: CAPACITY,
        kinds: [KIND],
        getWork: () => ({ ms: Infinity, how: "done" }),
        observe(what) {
            starts += what === "start" ? 1 : 0;
            isRunning = what === "start";
            if (what !== "start") {
                ends.push(what);
            }
        },
    });
    try {
        const { client, pool: [machine] } = deployment;
        const steps = [{
            count: 1,
            cpu: 4_000,
            "mem-mb": 1_024,
            "estimated-ms": 60_000,
            constraints: KIND,
            "long-running": true,
        }];
        if (!await client.submit(JOB_ID, { "task-spec": "feed watcher", steps })) {
            throw new Error("the job was not accepted");
        }
        const look = async () => {
            const state = await client.show(JOB_ID);
            if (state === "failed" && !ends.includes("failed")) {
                recorder.report("LOST", `${JOB_ID} is shown as failed; its runs ended ${ends.join()}`);
                return true;
            }
            return false;
        };
        for (let crash = 1; TROUBLE && crash <= CRASHES; crash++) {
            if (!await waitUntil(() => isRunning, START_LIMIT_MS)) {
                break;
            }
            await sleep(RUN_MS);
            machine.crash();
            await sleep(DOWN_MS);
            await machine.open();
        }
        await waitUntil(look, TROUBLE ? LAST_LOOK_MS : LAST_LOOK_MS + CRASHES * RUN_MS, LOOK_INTERVAL_MS);
        recorder.write("script", `${starts} starts; the runs ended ${ends.join() || "not at all"}`);
        if (starts === 0) {
            throw new Error("the job has not started");
        }
    }
    finally {
        await deployment.close();
    }
}

const recorder = new Recorder(new URL("record.txt", import.meta.url).pathname);
try {
    await run(recorder);
    process.stdout.write(`${recorder.breaks.length} breaks; the first: ${recorder.breaks[0] ?? "none"}\n`);
    process.exit(recorder.breaks.length > 0 ? 1 : 0);
}
catch (error) {
    process.stderr.write(`the case could not run: ${error.stack}\n`);
    process.exit(2);
}
