/** Generates seeded jobs of various shapes; a task's behavior is derived from its job. */
import type { Random } from "../../src/common/random.js";
import type { Resources } from "../../src/common/resources.js";
import type { JobSpec, StepSpec } from "../../src/process/jobs/job-spec.js";
import { parseTaskName } from "../../src/process/jobs/job-spec.js";
import type { TaskBehavior } from "../../src/stand-ins/task-worker-model.js";

/** Capacity of each worker: four cores, so that a few tasks fill it. */
export const WORKER_CAPACITY: Resources = { cpuMillis: 4_000, memoryMib: 8_192, accelerators: 0 };

const MAX_STEPS = 3;
const MAX_TASKS = 4;
const MIN_RUN_MS = 20;
const RUN_SPREAD_MS = 400;
/** One job in this many can never complete: each run of its first step fails. */
const HOPELESS_ONE_IN = 12;

/** A job with its expected outcome. */
export interface SoakJob {
    readonly id: string;
    readonly spec: JobSpec;
    readonly isHopeless: boolean;
}

/** Makes jobs and defines the behavior of their tasks on workers. */
export class JobSource {
    private readonly jobs = new Map<string, SoakJob>();
    private count = 0;

    constructor(private readonly random: Random) {}

    makeJob(): SoakJob {
        this.count += 1;
        const id = this.count.toString(16).padStart(16, "0");
        const stepCount = 1 + this.random.pickInt(MAX_STEPS);
        const steps = Array.from({ length: stepCount }, (...[, number]) => this.makeStep(number));
        const job: SoakJob = {
            id,
            spec: { payload: `work of ${id}`, steps, repeat: undefined },
            isHopeless: this.random.pickInt(HOPELESS_ONE_IN) === 0,
        };
        this.jobs.set(id, job);
        return job;
    }

    /** Finds a job made earlier. */
    find(jobId: string): SoakJob | undefined {
        return this.jobs.get(jobId);
    }

    /** Returns how a task behaves on a worker; an unknown task takes all of the worker. */
    getBehavior(task: string): TaskBehavior {
        const ref = parseTaskName(task);
        const job = ref && this.jobs.get(ref.jobId);
        const step = ref && job?.spec.steps[ref.step];
        const isFailing = job?.isHopeless === true && ref?.step === 0;
        return {
            demand: step?.demand ?? WORKER_CAPACITY,
            runMs: step?.estimateMs ?? MIN_RUN_MS,
            end: isFailing ? "failed" : "done",
        };
    }

    private makeStep(number: number): StepSpec {
        const { random } = this;
        const isGang = random.pickInt(3) === 0;
        return {
            taskCount: 1 + random.pickInt(MAX_TASKS),
            demand: {
                cpuMillis: 500 * (1 + random.pickInt(4)),
                memoryMib: 256 * (1 + random.pickInt(4)),
                accelerators: 0,
            },
            estimateMs: MIN_RUN_MS + random.pickInt(RUN_SPREAD_MS),
            after: number === 0 ? [] : [random.pickInt(number)],
            savesCheckpoints: false,
            isGang,
            prefersOneRack: false,
            requiredLabel: undefined,
            dataRack: undefined,
            maxPerWorker: random.pickInt(5) === 0 ? 2 : undefined,
            isLongRunning: false,
            fillsSpareCpu: false,
        };
    }
}
