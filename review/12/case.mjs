// A job whose worker crashes, five times one after the other. Usage: node case.mjs RECORD
import { makeJobId, Platform, Recorder, show, sleep, submit, waitUntilReady } from "../stand-ins-3/platform.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const recorder = new Recorder(process.argv[2]);

/** One of eight workers is down at a time: 12.5%. */
const WORKERS = 8;
const DOWN_MS = 4500;
const CRASHES = 5;
const TASK_MS = 8000;
/** Time from the start of a run to the crash of its worker. */
const CRASH_AFTER_MS = 2000;
const MAX_ATTEMPTS = 3;
const LIMIT_S = 100;

const platform = await Platform.open({
    recorder, nodes: 3, workers: WORKERS, capacity: { cpu: 16_000, "mem-mb": 32_768, gpu: 0 },
    maxAttempts: MAX_ATTEMPTS,
});
let status = 2;
try {
    if (!await waitUntilReady(platform, recorder)) {
        throw new Error("the nodes are not ready");
    }
    const jobId = makeJobId(1);
    const task = `${jobId}.0.0.0`;
    let crashes = 0;
    for (const worker of platform.workers) {
        worker.onStart = started => {
            if (!hasTrouble || started !== task || crashes === CRASHES) {
                return;
            }
            crashes += 1;
            const { id } = worker;
            setTimeout(() => {
                recorder.write(`worker ${id} crashes; it starts again ${DOWN_MS} ms later`);
                worker.crash();
            }, CRASH_AFTER_MS);
            setTimeout(() => void worker.start(), CRASH_AFTER_MS + DOWN_MS);
        };
    }
    const step = { count: 1, cpu: 1000, "mem-mb": 500, "estimated-ms": TASK_MS };
    const job = { "task-spec": JSON.stringify({ ms: TASK_MS }), steps: [step] };
    if (!await submit(platform, recorder, jobId, job)) {
        throw new Error("the job was not accepted");
    }
    let state;
    while (recorder.now() < LIMIT_S && state !== "completed" && state !== "failed") {
        await sleep(1000);
        state = await show(platform, recorder, jobId);
    }
    const failed = platform.ends.filter(end => end.task === task && end.how === "failed").length;
    recorder.write(`the job is shown as ${state}; ${failed} of its runs ended as failed, ${MAX_ATTEMPTS} are allowed`);
    // The rule: shown as failed without cause, where only ends `failed` count as attempts.
    const isBroken = state === "failed" && failed < MAX_ATTEMPTS;
    recorder.write(isBroken ? "LOST is broken" : "LOST has held");
    status = isBroken ? 1 : 0;
}
catch (error) {
    recorder.write(`the case could not run: ${error}`);
}
platform.close();
process.exit(status);
