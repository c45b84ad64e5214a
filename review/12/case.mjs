// A worker is lost for good, and the leader is killed three seconds later. Usage: node case.mjs RECORD
import { makeJobId, Platform, Recorder, sleep, submit, waitUntilReady } from "../stand-ins-3/platform.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const recorder = new Recorder(process.argv[2]);

/** One of eight workers: 12.5%. */
const WORKERS = 8;
/** One on a worker, and one worker is left for the task of a lost one. */
const TASKS = 7;
/** The rule holds from 6 s after a task's last run; it breaks after 3 s, if these and the 4 s before are calm. */
const AFTER_RUN_S = 6;
const IDLE_S = 3;
const CALM_S = 4;
/** `contact-ms`: so long after a disruption nothing counts as calm yet. */
const CONTACT_S = 3;
/** The site's length of such a crash; the worker doesn't come back, so it counts as a disruption for that long. */
const CRASH_S = 4.5;
const KILL_AFTER_S = 3;
/** The killed process is back within that time. */
const RESTART_S = 1;
const SETTLE_S = 5;
const WATCH_S = 25;

const platform = await Platform.open({
    recorder, nodes: 3, workers: WORKERS, capacity: { cpu: 16_000, "mem-mb": 32_768, gpu: 0 },
});
let status = 2;
try {
    if (!await waitUntilReady(platform, recorder)) {
        throw new Error("the nodes are not ready");
    }
    const jobId = makeJobId(1);
    const step = { count: TASKS, cpu: 1000, "mem-mb": 500, "estimated-ms": 1000, "anti-affinity": 1, "long-running": true };
    if (!await submit(platform, recorder, jobId, { "task-spec": JSON.stringify({ lasts: true }), steps: [step] })) {
        throw new Error("the job was not accepted");
    }
    await sleep(SETTLE_S * 1000);
    const countRunning = () => platform.workers.reduce((sum, worker) => sum + worker.runs.size, 0);
    if (countRunning() !== TASKS) {
        throw new Error("the tasks do not run");
    }
    const lostAt = recorder.now();
    let calmFrom = lostAt;
    if (hasTrouble) {
        const worker = platform.workers.find(({ runs }) => runs.size > 0);
        recorder.write(`worker ${worker.id} crashes and is gone for good`);
        worker.crash();
        await sleep(KILL_AFTER_S * 1000);
        platform.findLeader().kill();
        calmFrom = lostAt + Math.max(CRASH_S, KILL_AFTER_S + RESTART_S) + CONTACT_S;
    }
    let idleSince;
    let longestS = 0;
    while (recorder.now() < lostAt + WATCH_S) {
        const now = recorder.now();
        const isJudged = now >= Math.max(lostAt + AFTER_RUN_S, calmFrom + CALM_S);
        idleSince = isJudged && countRunning() < TASKS ? idleSince ?? now : undefined;
        longestS = Math.max(longestS, idleSince === undefined ? 0 : now - idleSince);
        await sleep(20);
    }
    platform.checkPorts();
    recorder.write(`${countRunning()} of ${TASKS} tasks run; one did not for ${longestS.toFixed(1)} s of the time judged`);
    const isBroken = longestS >= IDLE_S;
    recorder.write(isBroken ? "LOST is broken" : "LOST has held");
    status = isBroken ? 1 : 0;
}
catch (error) {
    recorder.write(`the case could not run: ${error}`);
}
platform.close();
process.exit(status);
