/** Runs one soak: callers and planned faults against real processes, then the verdict. */
import { sleep, systemClock } from "../../src/common/clock.js";
import type { Random } from "../../src/common/random.js";
import { SoakCallers } from "./callers.js";
import type { JobClient } from "./callers.js";
import type { SoakChecker } from "./checker.js";
import { FaultKind } from "./fault-plan.js";
import type { PlannedFault } from "./fault-plan.js";
import type { JobSource } from "./job-source.js";
import { KeyProber } from "./key-prober.js";
import type { SendProbe } from "./key-prober.js";
import type { NodeProcess } from "./node-process.js";
import { PathFault } from "./tcp-proxy.js";
import type { TcpProxy } from "./tcp-proxy.js";

/** A node with the proxies between it and the platform's services. */
export interface SoakNode {
    readonly process: NodeProcess;
    readonly storePath: TcpProxy;
    readonly advicePath: TcpProxy;
}

/** Controls for faults on one worker. */
export interface SoakWorker {
    readonly path: TcpProxy;
    /** Ends the worker's incarnation; a new one answers at the same address. */
    replaceIncarnation(): void;
    /** Sets whether the worker reports that it is draining. */
    setDraining(isDraining: boolean): void;
}

/** Controls for faults of the platform's services. */
export interface SoakServices {
    setStoreBusy(isBusy: boolean): void;
    setStoreLate(isLate: boolean): void;
    truncateStore(): void;
    /** Publishes a newer configuration. */
    updateConfig(): void;
    /** Publishes a configuration without, or with, the key that is probed. */
    setKeyRevoked(isRevoked: boolean): void;
}

/** All parts that take part in a run. */
export interface SoakFixture {
    readonly nodes: readonly SoakNode[];
    readonly workers: readonly SoakWorker[];
    readonly services: SoakServices;
    readonly client: JobClient;
    readonly sendProbe: SendProbe;
    readonly jobs: JobSource;
    readonly checker: SoakChecker;
    readonly random: Random;
}

/** Load and faults of a run. */
export interface SoakRunOptions {
    readonly faults: readonly PlannedFault[];
    readonly lengthMs: number;
    readonly callers: number;
}

/** Result of a run; it passes if there are no violations. */
export interface SoakVerdict {
    readonly violations: readonly string[];
    readonly jobs: Readonly<Record<"accepted" | "refused" | "ended", number>>;
}

/** Time after the end of the load and of all faults within which every accepted job has to end. */
const SETTLE_TIMEOUT_MS = 40_000;

/**
 * Runs callers and faults for the given time, waits for accepted jobs to end and returns the verdict.
 * @param fixture - A fixture whose nodes are ready.
 */
export async function runSoak(fixture: SoakFixture, runOptions: SoakRunOptions): Promise<SoakVerdict> {
    const listAddresses = (): readonly string[] =>
        fixture.nodes.flatMap(({ process }) => process.getCallerAddress() ?? []);
    const callers = new SoakCallers({ ...fixture, listAddresses });
    const prober = new KeyProber({
        ...fixture,
        setKeyRevoked: isRevoked => fixture.services.setKeyRevoked(isRevoked),
        listAddresses,
    });
    callers.start(runOptions.callers);
    void prober.run();
    await Promise.all([
        sleep(systemClock, runOptions.lengthMs),
        ...runOptions.faults.map(fault => runFault(fixture, fault)),
    ]);
    await callers.stop();
    await callers.settle(SETTLE_TIMEOUT_MS);
    prober.stop();
    fixture.checker.finish();
    const unexpectedExits = fixture.nodes.flatMap(({ process }) => process.unexpectedExits);
    return {
        violations: [
            ...fixture.checker.violations.map(({ guarantee, atMs, message }) =>
                `${guarantee} at ${atMs} ms: ${message}`
            ),
            ...unexpectedExits.map(end => `a process exited unexpectedly: ${end}`),
        ],
        jobs: fixture.checker.countJobs(),
    };
}

type Handler = (fixture: SoakFixture, fault: PlannedFault) => Promise<void>;

const HANDLERS: Readonly<Record<FaultKind, Handler>> = {
    [FaultKind.nodeKilled]: (fixture, fault) => sendSignal(fixture, fault, "SIGKILL"),
    [FaultKind.allKilled]: async fixture => {
        fixture.nodes.forEach(({ process }) => process.sendSignal("SIGKILL"));
    },
    [FaultKind.nodeStopped]: (fixture, fault) => sendSignal(fixture, fault, "SIGTERM"),
    [FaultKind.nodeFrozen]: async (fixture, fault) => {
        const { process } = pickTarget(fixture.nodes, fault);
        process.sendSignal("SIGSTOP");
        await sleep(systemClock, fault.forMs);
        process.sendSignal("SIGCONT");
    },
    [FaultKind.nodeReloaded]: (fixture, fault) => sendSignal(fixture, fault, "SIGHUP"),
    [FaultKind.storePathDelayed]: (fixture, fault) =>
        breakPath(pickTarget(fixture.nodes, fault).storePath, PathFault.delayed, fault),
    [FaultKind.storePathReset]: (fixture, fault) =>
        breakPath(pickTarget(fixture.nodes, fault).storePath, PathFault.reset, fault),
    [FaultKind.storePathSilent]: (fixture, fault) =>
        breakPath(pickTarget(fixture.nodes, fault).storePath, PathFault.silent, fault),
    [FaultKind.storeAnswersLost]: (fixture, fault) =>
        breakPath(pickTarget(fixture.nodes, fault).storePath, PathFault.answersLost, fault),
    [FaultKind.storeBusy]: (fixture, fault) =>
        setTemporarily(fault, isOn => fixture.services.setStoreBusy(isOn)),
    [FaultKind.storeLate]: (fixture, fault) =>
        setTemporarily(fault, isOn => fixture.services.setStoreLate(isOn)),
    [FaultKind.storeCompacted]: async fixture => fixture.services.truncateStore(),
    [FaultKind.workerPathSilent]: (fixture, fault) =>
        breakPath(pickTarget(fixture.workers, fault).path, PathFault.silent, fault),
    [FaultKind.workerPathReset]: (fixture, fault) =>
        breakPath(pickTarget(fixture.workers, fault).path, PathFault.reset, fault),
    [FaultKind.workerAnswersLost]: (fixture, fault) =>
        breakPath(pickTarget(fixture.workers, fault).path, PathFault.answersLost, fault),
    [FaultKind.workerReborn]: async (fixture, fault) =>
        pickTarget(fixture.workers, fault).replaceIncarnation(),
    [FaultKind.workerDrained]: (fixture, fault) =>
        setTemporarily(fault, isOn => pickTarget(fixture.workers, fault).setDraining(isOn)),
    [FaultKind.advicePathSilent]: (fixture, fault) =>
        breakPath(pickTarget(fixture.nodes, fault).advicePath, PathFault.silent, fault),
    [FaultKind.configChanged]: async fixture => fixture.services.updateConfig(),
};

async function runFault(fixture: SoakFixture, fault: PlannedFault): Promise<void> {
    await sleep(systemClock, fault.atMs);
    await HANDLERS[fault.kind](fixture, fault);
}

async function sendSignal(fixture: SoakFixture, fault: PlannedFault, signal: NodeJS.Signals): Promise<void> {
    pickTarget(fixture.nodes, fault).process.sendSignal(signal);
}

async function breakPath(path: TcpProxy, kind: PathFault, fault: PlannedFault): Promise<void> {
    path.setFault(kind);
    await sleep(systemClock, fault.forMs);
    path.setFault(PathFault.none);
}

async function setTemporarily(fault: PlannedFault, set: (isOn: boolean) => void): Promise<void> {
    set(true);
    await sleep(systemClock, fault.forMs);
    set(false);
}

function pickTarget<Target>(targets: readonly Target[], fault: PlannedFault): Target {
    const target = targets[fault.target % targets.length];
    if (target === undefined) {
        throw new Error("a soak run needs at least one node and one worker");
    }
    return target;
}
