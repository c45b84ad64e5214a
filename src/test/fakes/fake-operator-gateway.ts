/** A scripted {@link OperatorGateway}: it returns the values that a test sets and records the edits. */
import { NO_RESOURCES } from "../../common/resources.js";
import type {
    DryRunReport,
    EditRecord,
    EditReply,
    EffectiveValue,
    OperatorGateway,
    StatusView,
    TreeEdit,
    TreeView,
} from "../../process/operator-gateway.js";
import { FAKE_EPOCH_MS } from "./fake-clock.js";

const MEMBER = {
    memberId: "m1",
    host: "127.0.0.1",
    peerPort: 1,
    httpUrl: "http://127.0.0.1:2",
    failureDomain: "sala-verona",
    reachable: true,
    treeVersion: 7,
};

export const FAKE_STATUS: StatusView = {
    memberId: "m1",
    accepting: true,
    treeVersion: 7,
    tableRevision: 3,
    mayAct: true,
    members: [MEMBER],
    workerSlices: [{ slice: 0, owner: "m1", epoch: 1 }],
    homeSlices: [{ slice: 0, owner: "m1", epoch: 1 }],
    workers: [{
        workerId: "w1",
        rack: "r1",
        failureDomain: "sala-verona",
        slice: 0,
        state: "open",
        freeSlots: 8,
        slots: 8,
        tasks: 0,
        use: NO_RESOURCES,
        capacity: { cpuMillis: 64_000, memoryMib: 130_000, accelerators: 0 },
    }],
    home: { slices: [{ slice: 0, epoch: 1, ready: true }], jobs: 1, waitingTasks: 2, runningTasks: 3 },
    store: { reads: 4 },
};

export class FakeOperatorGateway implements OperatorGateway {
    tree: TreeView | undefined = { version: 7, tree: { services: {} } };
    reply: EditReply = { kind: "accepted", version: 8, inForce: ["m1"] };
    report: DryRunReport = { faults: [], conflicts: [], changedBranches: [] };
    history: EditRecord[] = [{
        editId: "e1",
        version: 7,
        author: "anna",
        wallMs: FAKE_EPOCH_MS,
        changes: [],
    }];
    readonly edits: TreeEdit[] = [];

    readTree(): TreeView | undefined {
        return this.tree;
    }

    editTree(edit: TreeEdit): Promise<EditReply> {
        this.edits.push(edit);
        return Promise.resolve(this.reply);
    }

    listHistory(limit: number): readonly EditRecord[] {
        return this.history.slice(0, limit);
    }

    getEffective(path: string): readonly EffectiveValue[] | undefined {
        return path === "services/catalogo-beni" ?
            [{ field: "weight", value: 1, origin: "default" }] :
            undefined;
    }

    checkEdit(edit: TreeEdit): DryRunReport {
        this.edits.push(edit);
        return this.report;
    }

    getStatus(): StatusView {
        return FAKE_STATUS;
    }
}
