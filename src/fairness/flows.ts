/** Start-time fair queueing over the customers of one priority. */
import type * as types from "./types.js";

export interface Waiting {
    readonly job: types.Job;
    /** Virtual time of the flows when the job arrived. */
    readonly arrivedAt: number;
}

/** A waiting job with its virtual start and finish. */
export interface Tagged {
    readonly job: types.Job;
    readonly start: number;
    readonly finish: number;
}

interface Flow {
    waiting: Waiting[];
    /** Virtual finish of the last job that started. */
    finish: number;
}

export class Flows {
    private readonly flows = new Map<string, Flow>();
    private virtualTime = 0;

    constructor(private readonly weight: (customer: string) => number) {}

    get isEmpty(): boolean {
        return [...this.flows.values()].every(flow => flow.waiting.length === 0);
    }

    add(job: types.Job): void {
        this.flow(job.customer).waiting.push({ job, arrivedAt: this.virtualTime });
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

    /** First waiting job of each customer by virtual start. */
    heads(): readonly Tagged[] {
        return [...this.flows.entries()]
            .filter(([, flow]) => flow.waiting.length > 0)
            .map(([, flow]) => this.head(flow))
            .sort(byStart);
    }

    /** All waiting jobs of a customer in order. */
    tags(customer: string): readonly Tagged[] {
        const flow = this.flow(customer);
        let finish = flow.finish;
        return flow.waiting.map(waiting => {
            const tagged = this.tag(waiting, finish);
            finish = tagged.finish;
            return tagged;
        });
    }

    all(): readonly Tagged[] {
        return [...this.flows.keys()].flatMap(customer => this.tags(customer));
    }

    /** Starts the first job of a customer: the virtual time moves to its start. */
    start(tagged: Tagged): void {
        const flow = this.flow(tagged.job.customer);
        flow.waiting = flow.waiting.filter(waiting => waiting.job.id !== tagged.job.id);
        flow.finish = tagged.finish;
        this.virtualTime = Math.max(this.virtualTime, tagged.start);
    }

    /** Charges the difference between the real and the expected cost to the next jobs of the customer. */
    correct(customer: string, difference: number): void {
        const flow = this.flow(customer);
        flow.finish += difference / this.weight(customer);
        if (flow.waiting.length === 0 && flow.finish <= this.virtualTime) {
            this.flows.delete(customer);
        }
    }

    private head(flow: Flow): Tagged {
        return this.tag(flow.waiting[0], flow.finish);
    }

    private tag({ job, arrivedAt }: Waiting, previousFinish: number): Tagged {
        const start = Math.max(arrivedAt, previousFinish);
        return { job, start, finish: start + job.cost / this.weight(job.customer) };
    }

    private flow(customer: string): Flow {
        const known = this.flows.get(customer);
        if (known !== undefined) {
            return known;
        }
        const flow = { waiting: [], finish: 0 };
        this.flows.set(customer, flow);
        return flow;
    }
}

function byStart(left: Tagged, right: Tagged): number {
    return left.start - right.start || left.job.id - right.job.id;
}
