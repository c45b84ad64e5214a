/** The platform of a run, in the bench's own process: store, VM list and workers on loopback, with one journal. */
import { systemClock } from "../../src/common/clock.js";
import {
    type RunningStandIn,
    startStoreStandIn,
    startVmListStandIn,
    startWorkerStandIn,
    type StoreModel,
    type VmListModel,
    WorkerJournal,
} from "../../src/stand-ins/index.js";

const WORKERS = 30;
const WORKERS_PER_RACK = 6;
const VM_LIST_LAG_MS = 1_000;
export const FAILURE_DOMAINS = ["domain-a", "domain-b", "domain-c", "domain-d"] as const;

/** A platform that serves. */
export interface BenchPlatform {
    readonly store: StoreModel;
    readonly vmList: VmListModel;
    readonly journal: WorkerJournal;
    readonly storeUrl: string;
    readonly vmListUrl: string;
    close(): Promise<void>;
}

/** Starts the store, the VM list and 30 workers with 8 slots. */
export async function startPlatform(): Promise<BenchPlatform> {
    const clock = systemClock;
    const journal = new WorkerJournal();
    const store = await startStoreStandIn({ clock });
    const vmList = await startVmListStandIn({ clock, lagMs: VM_LIST_LAG_MS });
    const standIns: RunningStandIn[] = [store, vmList];
    for (let index = 0; index < WORKERS; index++) {
        const rack = Math.floor(index / WORKERS_PER_RACK);
        const workerId = `worker-${index}`;
        const worker = await startWorkerStandIn({
            clock,
            worker: {
                workerId,
                capacity: { cpuMillis: 64_000, memoryMib: 130_000, accelerators: 0 },
                slots: 8,
                maxConnections: 60,
                comparesEpochs: true,
                journal,
            },
        });
        standIns.push(worker);
        vmList.model.put({
            workerId,
            url: worker.url,
            rack: `rack-${rack}`,
            failureDomain: FAILURE_DOMAINS[rack % FAILURE_DOMAINS.length] ?? "domain-a",
            state: "live",
        });
    }
    return {
        store: store.model,
        vmList: vmList.model,
        journal,
        storeUrl: store.url,
        vmListUrl: vmList.url,
        close: async () => {
            await Promise.all(standIns.map(standIn => standIn.close()));
        },
    };
}
