/** One run of the soak: real processes, callers, faults from a seed, and the verdict. */
import { sleep, systemClock } from "../../src/common/clock.js";
import type { Random } from "../../src/common/random.js";
import { SoakCallers } from "./callers.js";
import type { CallerWay } from "./callers.js";
import type { SoakChecker } from "./checker.js";
import { FaultKind } from "./fault-plan.js";
import type { PlannedFault } from "./fault-plan.js";
import type { JobSource } from "./job-source.js";
import type { NodeProcess } from "./node-process.js";
import { PathFault } from "./tcp-proxy.js";
import type { TcpProxy } from "./tcp-proxy.js";

/** A node with its ways to the platform's services. */
export interface SoakNode {
    readonly process: NodeProcess;
    readonly storePath: TcpProxy;
    readonly advicePath: TcpProxy;
}

/** A worker as faults see it. */
export interface SoakWorker {
    readonly path: TcpProxy;
    /** Ends its life; another one answers at the same address. */
    replaceLife(): void;
    /** Says that it leaves, or that it is back. */
    setDraining(isDraining: boolean): void;
}

/** What the platform's services do wrong. */
export interface SoakServices {
    setStoreBusy(isBusy: boolean): void;
    setStoreLate(isLate: boolean): void;
    truncateStore(): void;
    /** Puts a newer configuration in force. */
    updateConfig(): void;
}

/** Everything that a run consists of. */
export interface SoakScene {
    readonly nodes: readonly SoakNode[];
    readonly workers: readonly SoakWorker[];
    readonly services: SoakServices;
    readonly way: CallerWay;
    readonly jobs: JobSource;
    readonly checker: SoakChecker;
    readonly random: Random;
}

/** What to do. */
export interface SoakTask {
    readonly faults: readonly PlannedFault[];
    readonly lengthMs: number;
    readonly callers: number;
}

/** How it went. */
export interface SoakVerdict {
    readonly violations: readonly string[];
    readonly jobs: Readonly<Record<"accepted" | "refused" | "ended", number>>;
}

/** Time after the last fault in which every accepted job has to end. */
const SETTLE_MS = 40_000;

/**
 * Plays a run.
 * @param scene - What it is played with; the nodes are ready.
 * @param task - What to do.
 */
export async function runSoak(scene: SoakScene, task: SoakTask): Promise<SoakVerdict> {
    const callers = new SoakCallers({
        ...scene,
        listAddresses: () => scene.nodes.flatMap(({ process }) => process.getCallerAddress() ?? []),
    });
    callers.start(task.callers);
    await Promise.all([
        sleep(systemClock, task.lengthMs),
        ...task.faults.map(fault => runFault(scene, fault)),
    ]);
    await callers.stop();
    await callers.settle(SETTLE_MS);
    scene.checker.finish();
    const ownEnds = scene.nodes.flatMap(({ process }) => process.ownEnds);
    return {
        violations: [
            ...scene.checker.violations.map(({ promise, atMs, message }) =>
                `${promise} at ${atMs} ms: ${message}`
            ),
            ...ownEnds.map(end => `a process ended by itself: ${end}`),
        ],
        jobs: scene.checker.countJobs(),
    };
}

type Handler = (scene: SoakScene, fault: PlannedFault) => Promise<void>;

const HANDLERS: Readonly<Record<FaultKind, Handler>> = {
    [FaultKind.nodeKilled]: (scene, fault) => sendSignal(scene, fault, "SIGKILL"),
    [FaultKind.allKilled]: async scene => {
        scene.nodes.forEach(({ process }) => process.sendSignal("SIGKILL"));
    },
    [FaultKind.nodeStopped]: (scene, fault) => sendSignal(scene, fault, "SIGTERM"),
    [FaultKind.nodeFrozen]: async (scene, fault) => {
        const { process } = pickTarget(scene.nodes, fault);
        process.sendSignal("SIGSTOP");
        await sleep(systemClock, fault.forMs);
        process.sendSignal("SIGCONT");
    },
    [FaultKind.nodeReloaded]: (scene, fault) => sendSignal(scene, fault, "SIGHUP"),
    [FaultKind.storePathDelayed]: (scene, fault) =>
        breakPath(pickTarget(scene.nodes, fault).storePath, PathFault.delayed, fault),
    [FaultKind.storePathReset]: (scene, fault) =>
        breakPath(pickTarget(scene.nodes, fault).storePath, PathFault.reset, fault),
    [FaultKind.storePathSilent]: (scene, fault) =>
        breakPath(pickTarget(scene.nodes, fault).storePath, PathFault.silent, fault),
    [FaultKind.storeAnswersLost]: (scene, fault) =>
        breakPath(pickTarget(scene.nodes, fault).storePath, PathFault.answersLost, fault),
    [FaultKind.storeBusy]: (scene, fault) => holdFor(fault, isOn => scene.services.setStoreBusy(isOn)),
    [FaultKind.storeLate]: (scene, fault) => holdFor(fault, isOn => scene.services.setStoreLate(isOn)),
    [FaultKind.storeCompacted]: async scene => scene.services.truncateStore(),
    [FaultKind.workerPathSilent]: (scene, fault) =>
        breakPath(pickTarget(scene.workers, fault).path, PathFault.silent, fault),
    [FaultKind.workerPathReset]: (scene, fault) =>
        breakPath(pickTarget(scene.workers, fault).path, PathFault.reset, fault),
    [FaultKind.workerAnswersLost]: (scene, fault) =>
        breakPath(pickTarget(scene.workers, fault).path, PathFault.answersLost, fault),
    [FaultKind.workerReborn]: async (scene, fault) => pickTarget(scene.workers, fault).replaceLife(),
    [FaultKind.workerDrained]: (scene, fault) =>
        holdFor(fault, isOn => pickTarget(scene.workers, fault).setDraining(isOn)),
    [FaultKind.advicePathSilent]: (scene, fault) =>
        breakPath(pickTarget(scene.nodes, fault).advicePath, PathFault.silent, fault),
    [FaultKind.configChanged]: async scene => scene.services.updateConfig(),
};

async function runFault(scene: SoakScene, fault: PlannedFault): Promise<void> {
    await sleep(systemClock, fault.atMs);
    await HANDLERS[fault.kind](scene, fault);
}

async function sendSignal(scene: SoakScene, fault: PlannedFault, signal: NodeJS.Signals): Promise<void> {
    pickTarget(scene.nodes, fault).process.sendSignal(signal);
}

async function breakPath(path: TcpProxy, kind: PathFault, fault: PlannedFault): Promise<void> {
    path.setFault(kind);
    await sleep(systemClock, fault.forMs);
    path.setFault(PathFault.none);
}

async function holdFor(fault: PlannedFault, set: (isOn: boolean) => void): Promise<void> {
    set(true);
    await sleep(systemClock, fault.forMs);
    set(false);
}

function pickTarget<Target>(targets: readonly Target[], fault: PlannedFault): Target {
    const target = targets[fault.target % targets.length];
    if (target === undefined) {
        throw new Error("a run needs at least one node and one worker; start it with more");
    }
    return target;
}
