// One job whose second step names the first one many times, among forty ordinary ones. Usage: node case.mjs RECORD
import { BOUNDS, call, makeJobId, Platform, Recorder, show, sleep, waitUntilReady } from "../stand-ins-3/platform.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const recorder = new Recorder(process.argv[2]);

/** Ordinary jobs, at two a second. */
const JOBS = 40;
const JOB_GAP_MS = 500;
/** After this many comes a job whose second step waits for the first one, and says so many times. */
const JOBS_BEFORE = 20;
const NAMED = 130_000;
/** As in the site file: a client tries again four times, after no answer or a temporary refusal. */
const RETRIES = 4;
/** The rule: on a tenth of the machines, two at least, processes end by themselves three times. */
const MAX_EXITS = 3;
const MIN_MACHINES = 2;

const payload = JSON.stringify({ ms: 500 });
const step = { count: 6, cpu: 500, "mem-mb": 100, "estimated-ms": 500 };
const ordinary = { "task-spec": payload, steps: [step] };
const repetitive = {
    "task-spec": payload, steps: [step, { ...step, after: Array.from({ length: NAMED }, () => 0) }],
};

async function handIn(platform, jobId, job) {
    for (let attempt = 0; attempt <= RETRIES; attempt++) {
        const node = platform.nodes[attempt % platform.nodes.length];
        const { status } = await call(node.front, "POST", jobId, job);
        recorder.write(`client: POST ${jobId} (${JSON.stringify(job).length} bytes) at ${node.name}: ${status ?? "no answer"}`);
        if (status !== undefined && ![429, 502, 503, 504].includes(status)) {
            return status === 200;
        }
        await sleep(500);
    }
    return false;
}

const platform = await Platform.open({
    recorder, nodes: 3, workers: 8, capacity: { cpu: 16_000, "mem-mb": 32_768, gpu: 0 },
});
let status = 2;
try {
    if (!await waitUntilReady(platform, recorder)) {
        throw new Error("the nodes are not ready");
    }
    const accepted = [];
    const pending = [];
    for (let number = 1; number <= JOBS; number++) {
        const jobId = makeJobId(number);
        pending.push(handIn(platform, jobId, ordinary).then(isAccepted => isAccepted && accepted.push(jobId)));
        if (hasTrouble && number === JOBS_BEFORE) {
            pending.push(handIn(platform, makeJobId(0x1000), repetitive));
        }
        await sleep(JOB_GAP_MS);
    }
    await Promise.all(pending);
    recorder.write(`the traffic has ended: ${accepted.length} of ${JOBS} ordinary jobs were accepted`);
    await sleep(BOUNDS.finish_s * 1000);
    const states = await Promise.all(accepted.map(jobId => show(platform, recorder, jobId)));
    const lost = states.filter(state => state === undefined || state === "410").length;
    platform.checkPorts();
    platform.nodes.forEach(({ name, exits }) =>
        recorder.write(`node ${name}: its process has ended by itself ${exits} times`)
    );
    const failing = platform.nodes.filter(({ exits }) => exits >= MAX_EXITS).length;
    const isBroken = failing >= MIN_MACHINES;
    recorder.write(isBroken ?
        `Fault: on ${failing} machines processes ended by themselves ${MAX_EXITS} times or more; ${lost} accepted jobs get no state` :
        "no fault");
    status = isBroken ? 1 : 0;
}
catch (error) {
    recorder.write(`the case could not run: ${error}`);
}
platform.close();
process.exit(status);
