/** Assembles the role `agent`: the sidecar process of one backend server. */
import * as budgetControllers from "../admission/controller.js";
import * as budgetServices from "../admission/service.js";
import * as transports from "../admission/transport.js";
import * as agentServices from "../agent/agent-service.js";
import * as followers from "../agent/cache-follower.js";
import * as calls from "../agent/call-service.js";
import * as engineClients from "../agent/engine-client.js";
import * as monitors from "../agent/engine-monitor.js";
import * as runners from "../agent/generation-runner.js";
import * as generations from "../agent/generation-service.js";
import * as guards from "../agent/request-guard.js";
import * as serviceMonitors from "../agent/service-monitor.js";
import * as disposal from "../core/disposal.js";
import * as jobQueues from "../fairness/job-queue.js";
import * as ledgers from "../idempotency/call-ledger.js";
import * as serviceClients from "../idempotency/service-client.js";
import type * as manifest from "../manifest/types.js";
import * as quarantines from "../quarantine/controller.js";
import * as rolloutControllers from "../rollout/controller.js";
import * as orderHandlers from "../rollout/order-handler.js";
import * as outcomeCounters from "../rollout/outcome-counter.js";
import * as rolloutServices from "../rollout/service.js";
import * as rolloutTransports from "../rollout/transport.js";
import * as views from "../routing/cache-view.js";
import * as agentMessages from "../rpc/gen/ibisstep/v1/agent_pb.js";
import * as budgetMessages from "../rpc/gen/ibisstep/v1/budget_pb.js";
import * as rolloutMessages from "../rpc/gen/ibisstep/v1/rollout_pb.js";
import * as controllerLoops from "./controller-loop.js";
import * as health from "./health-server.js";
import type * as nodes from "./node.js";

const ENGINE_POLL_INTERVAL_MS = 100;
/**
 * Pause between two long polls of cache events. Without it, a busy engine answers each poll immediately and the polls
 * use up to half a CPU core.
 */
const CACHE_POLL_PAUSE_MS = 50;
const SERVICE_PROBE_INTERVAL_MS = 500;
const LEDGER_STEP_INTERVAL_MS = 250;
/** Longest wait at shutdown until the results of calls are stored. */
const FLUSH_TIMEOUT_MS = 5000;
/** Longest wait at shutdown until another agent has taken over the budgets. */
const HANDOVER_TIMEOUT_MS = 2000;

/** Parts of the agent that depend on the kind of its backend server. */
interface BackendParts {
    readonly schedules: readonly controllerLoops.Schedule[];
    readonly calls?: calls.CallService;
    readonly generations?: generations.GenerationService;
    readonly engine?: engineClients.EngineClient;
    /** Called at shutdown: an engine's queue is closed, and the results of calls to a service are stored. */
    readonly flush: () => Promise<void>;
}

/** Runs an agent until its graceful shutdown has finished. */
export async function run(node: nodes.Node): Promise<void> {
    await using stack = new disposal.DisposalStack();
    stack.use(node);
    stack.use(node.followRollouts());
    await node.start();
    const budgets = new budgetControllers.BudgetController({
        ...node.sharedDependencies,
        self: node.self,
        store: node.store,
        liveness: node.liveness,
        transport: transports.createTransport(node.pool),
    });
    const requestGuard = new guards.RequestGuard({
        board: node.board,
        checkNewWork: () => node.membership.checkNewWork(),
        fetchConfiguration: node.ensureVersion,
    });
    const counter = new outcomeCounters.OutcomeCounter(node.board, () => node.clock.wallTime());
    const backend = createBackend(node, requestGuard, counter);
    const rollouts = createRolloutParts(node, counter, backend.engine);
    stack.use(publishBackendState(node));
    stack.use(
        await node.listen(router => {
            router.service(budgetMessages.BudgetService, budgetServices.createBudgetService(budgets));
            router.service(rolloutMessages.RolloutService, rollouts.service);
            router.service(
                agentMessages.AgentService,
                agentServices.createAgentService({
                    calls: backend.calls,
                    generations: backend.generations,
                    manifestVersion: () => requestGuard.version,
                    trackWork: () => trackInFlight(node),
                    memory: node.memory.budget,
                }),
            );
        }),
    );
    const schedules = [
        ...node.schedules(),
        { controller: budgets, intervalMs: budgetControllers.STEP_INTERVAL_MS },
        { controller: rollouts.controller, intervalMs: rolloutControllers.STEP_INTERVAL_MS },
        ...backend.schedules,
    ];
    stack.use(new controllerLoops.ControllerLoop(schedules, node.clock, node.journal));
    if (node.settings.health_address !== undefined) {
        stack.use(await health.listen(node.settings.health_address, () => isReady(node)));
    }
    stack.use(node.drainOnSignal());
    stack.use(node.announceReady());
    await node.drain.finished;
    await waitForHandover(node, budgets);
    await backend.flush();
}

/**
 * Waits until another agent has taken over the budgets of this one. Otherwise admission would have to wait until this
 * process is confirmed dead.
 */
async function waitForHandover(node: nodes.Node, budgets: budgetControllers.BudgetController): Promise<void> {
    const deadline = node.clock.now() + HANDOVER_TIMEOUT_MS;
    while (!budgets.holdsNoGroup && node.clock.now() < deadline) {
        await node.clock.sleep(budgetControllers.STEP_INTERVAL_MS);
    }
}

function isReady(node: nodes.Node): boolean {
    return node.isReady() && node.board.read("backend").reachable;
}

/** Creates the controller and the RPC service for version rollouts; any agent can become the coordinator. */
function createRolloutParts(
    node: nodes.Node,
    counter: outcomeCounters.OutcomeCounter,
    engine: engineClients.EngineClient | undefined,
) {
    const { board, clock } = node;
    const orders = new orderHandlers.OrderHandler({ board, engine, wallTime: () => clock.wallTime() });
    return {
        controller: new rolloutControllers.RolloutController({
            ...node.sharedDependencies,
            self: node.self,
            store: node.store,
            liveness: node.liveness,
            transport: rolloutTransports.createRolloutTransport(node.pool),
            counter,
        }),
        service: rolloutServices.createRolloutService({ self: node.self, counter, orders, now: () => clock.now() }),
    };
}

type BackendFactory = (
    node: nodes.Node,
    requestGuard: guards.RequestGuard,
    counter: outcomeCounters.OutcomeCounter,
) => BackendParts;

const createBackend: BackendFactory = (node, requestGuard, counter) =>
    BACKEND_FACTORIES[node.settings.backend_kind](node, requestGuard, counter);

const BACKEND_FACTORIES: Readonly<Record<manifest.ServerKind, BackendFactory>> = {
    engine: createEngineBackend,
    service: createServiceBackend,
};

function createEngineBackend(
    node: nodes.Node,
    requestGuard: guards.RequestGuard,
    outcomeCounter: outcomeCounters.OutcomeCounter,
): BackendParts {
    const { settings, board, clock, journal, recorder } = node;
    const engine = new engineClients.EngineClient(settings.backend_address ?? "");
    const cache = new views.CacheView();
    const queue = new jobQueues.JobQueue(
        {
            slots: settings.backend.slots,
            runningTokens: settings.backend.running_tokens,
            queuedJobs: settings.backend.queued_requests,
            queuedCost: settings.backend.queued_tokens,
        },
        clock,
        journal,
    );
    followCustomerWeights(node, queue);
    const quarantine = createQuarantine(node, engine);
    const monitor = new monitors.EngineMonitor({ engine, board, journal, onCrash: () => cache.invalidate() });
    return {
        schedules: [
            { controller: monitor, intervalMs: ENGINE_POLL_INTERVAL_MS },
            { controller: new followers.CacheFollower(engine, cache, clock, journal), intervalMs: CACHE_POLL_PAUSE_MS },
            { controller: quarantine.controller, intervalMs: quarantines.STEP_INTERVAL_MS },
        ],
        engine,
        generations: new generations.GenerationService({
            guard: requestGuard,
            board,
            engineAddress: engine.address,
            runner: quarantine.runner,
            queue,
            cache,
            recorder,
            outcomeCounter,
            slots: settings.backend.slots,
            clock,
        }),
        flush: async () => queue[Symbol.dispose](),
    };
}

/** Creates the controller and the runner that isolate and block requests that crash engines. */
function createQuarantine(node: nodes.Node, engine: engineClients.EngineClient) {
    let controller!: quarantines.QuarantineController;
    const runner = new runners.GenerationRunner({
        server: node.self.address,
        engine,
        engineBoot: () => node.board.read("backend").boot,
        clock: node.clock,
        createQuarantine: onVerdictEscalated =>
            controller = new quarantines.QuarantineController({
                ...node.sharedDependencies,
                onVerdictEscalated,
            }),
    });
    return { controller, runner };
}

function createServiceBackend(node: nodes.Node, requestGuard: guards.RequestGuard): BackendParts {
    const { settings, board, clock, journal } = node;
    const address = settings.backend_address ?? "";
    const client = new serviceClients.ServiceClient(address, clock);
    const ledger = new ledgers.CallLedger({
        self: node.self,
        store: node.store,
        clock,
        journal,
        liveness: node.liveness,
        service: client,
    });
    return {
        schedules: [
            {
                controller: new serviceMonitors.ServiceMonitor(address, board, journal),
                intervalMs: SERVICE_PROBE_INTERVAL_MS,
            },
            { controller: ledger, intervalMs: LEDGER_STEP_INTERVAL_MS },
        ],
        calls: new calls.CallService({ guard: requestGuard, ledger, client, now: () => clock.now() }),
        flush: () => ledger.flush(clock.now() + FLUSH_TIMEOUT_MS),
    };
}

/** Applies the scheduling weights of the customers in the configuration to the queue. */
function followCustomerWeights(node: nodes.Node, queue: jobQueues.JobQueue): void {
    const update = () => {
        const customers = [...node.board.read("configuration").customers.values()];
        queue.setWeights(new Map(customers.map(customer => [customer.name, customer.weight])));
    };
    node.board.subscribe("configuration", update);
    update();
}

/** Publishes the state of the backend server in the member document. */
function publishBackendState(node: nodes.Node): Disposable {
    return node.board.subscribe("backend", backend => {
        node.membership.updateBackend({ weights: backend.weights, backendBoot: backend.boot });
    });
}

/**
 * Counts a call as in flight until the returned value is disposed. Calls that arrive during the drain are refused by
 * the request guard and are not counted.
 */
function trackInFlight(node: nodes.Node): Disposable {
    const entered = node.drain.enter();
    return entered.ok ? entered.value : { [Symbol.dispose]: () => undefined };
}
