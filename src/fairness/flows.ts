/** Start-time fair queueing of the jobs of one priority, with one flow per customer. */
import type * as types from "./types.js";

export interface WaitingJob {
    readonly job: types.Job;
    /** Virtual time at which the job arrived. */
    readonly arrivalVirtualTime: number;
}

/** A waiting job with its start and finish tags, in cost divided by weight. */
export interface TaggedJob {
    readonly job: types.Job;
    readonly virtualStart: number;
    readonly virtualFinish: number;
}

interface Flow {
    waiting: WaitingJob[];
    /** Virtual finish of the last job that started. */
    lastVirtualFinish: number;
}

export class Flows {
    private readonly flows = new Map<string, Flow>();
    private virtualTime = 0;

    constructor(private readonly weight: (customer: string) => number) {}

    get isEmpty(): boolean {
        return [...this.flows.values()].every(flow => flow.waiting.length === 0);
    }

    add(job: types.Job): void {
        this.flow(job.customer).waiting.push({ job, arrivalVirtualTime: this.virtualTime });
    }

    remove(id: number): types.Job | undefined {
        for (const flow of this.flows.values()) {
            const index = flow.waiting.findIndex(waiting => waiting.job.id === id);
            if (index >= 0) {
                return flow.waiting.splice(index, 1)[0].job;
            }
        }
        return undefined;
    }

    /** First waiting job of each customer, ordered by virtual start. */
    heads(): readonly TaggedJob[] {
        return [...this.flows.entries()]
            .filter(([, flow]) => flow.waiting.length > 0)
            .map(([, flow]) => this.head(flow))
            .sort(byStart);
    }

    /** All waiting jobs of a customer in arrival order. */
    taggedJobs(customer: string): readonly TaggedJob[] {
        const flow = this.flow(customer);
        let virtualFinish = flow.lastVirtualFinish;
        return flow.waiting.map(waiting => {
            const tagged = this.tag(waiting, virtualFinish);
            virtualFinish = tagged.virtualFinish;
            return tagged;
        });
    }

    allTaggedJobs(): readonly TaggedJob[] {
        return [...this.flows.keys()].flatMap(customer => this.taggedJobs(customer));
    }

    /** Starts the first job of a customer and advances the virtual time to the job's virtual start. */
    start(tagged: TaggedJob): void {
        const flow = this.flow(tagged.job.customer);
        flow.waiting = flow.waiting.filter(waiting => waiting.job.id !== tagged.job.id);
        flow.lastVirtualFinish = tagged.virtualFinish;
        this.virtualTime = Math.max(this.virtualTime, tagged.virtualStart);
    }

    /** Charges the difference between the actual and the expected cost to the customer's next jobs. */
    correctCost(customer: string, difference: number): void {
        const flow = this.flow(customer);
        flow.lastVirtualFinish += difference / this.weight(customer);
        if (flow.waiting.length === 0 && flow.lastVirtualFinish <= this.virtualTime) {
            this.flows.delete(customer);
        }
    }

    private head(flow: Flow): TaggedJob {
        return this.tag(flow.waiting[0], flow.lastVirtualFinish);
    }

    private tag({ job, arrivalVirtualTime }: WaitingJob, previousFinish: number): TaggedJob {
        const virtualStart = Math.max(arrivalVirtualTime, previousFinish);
        return { job, virtualStart, virtualFinish: virtualStart + job.cost / this.weight(job.customer) };
    }

    private flow(customer: string): Flow {
        const known = this.flows.get(customer);
        if (known !== undefined) {
            return known;
        }
        const flow = { waiting: [], lastVirtualFinish: 0 };
        this.flows.set(customer, flow);
        return flow;
    }
}

function byStart(left: TaggedJob, right: TaggedJob): number {
    return left.virtualStart - right.virtualStart || left.job.id - right.job.id;
}
