/** Assembles the role `entry`: the process that accepts requests from clients. */
import * as admissions from "../admission/client.js";
import * as transports from "../admission/transport.js";
import * as liveRequests from "../configuration/live-requests.js";
import * as disposal from "../core/disposal.js";
import * as outcomes from "../core/outcome.js";
import * as agentCallers from "../entry/agent-caller.js";
import * as authentication from "../entry/authentication.js";
import * as callPipelines from "../entry/call-pipeline.js";
import * as chatPipelines from "../entry/chat-pipeline.js";
import * as httpServers from "../entry/http-server.js";
import * as modelLists from "../entry/model-list.js";
import * as quarantinePolicies from "../entry/quarantine-policy.js";
import * as requestAdmissions from "../entry/request-admission.js";
import * as requestOwners from "../entry/request-owner.js";
import * as serverHealths from "../entry/server-health.js";
import * as serverSelections from "../entry/server-selection.js";
import * as quarantines from "../quarantine/controller.js";
import * as versionSelectors from "../rollout/version-selector.js";
import * as controllerLoops from "./controller-loop.js";
import type * as nodes from "./node.js";

/** Runs an entry until its graceful shutdown has finished. */
export async function run(node: nodes.Node): Promise<void> {
    await using stack = new disposal.DisposalStack();
    stack.use(node);
    const { board, clock, settings } = node;
    stack.use(node.followHolders());
    stack.use(node.followRollouts());
    await node.start();
    const transport = transports.createTransport(node.pool);
    const admission = stack.use(new admissions.AdmissionClient({ board, transport, clock }));
    const liveRequestRegistry = stack.use(new liveRequests.LiveRequests(board));
    const requestAdmission = new requestAdmissions.RequestAdmission({
        settings,
        drain: node.drain,
        liveRequests: liveRequestRegistry,
        admission,
        recorder: node.recorder,
        now: () => clock.now(),
    });
    const agentCaller = new agentCallers.AgentCaller({
        address: node.self.address,
        pool: node.pool,
        board,
        ensureVersion: node.ensureVersion,
        connectionRefused: incarnation => node.membership.reportEvidence(incarnation, "refused"),
    });
    const serverHealth = new serverHealths.ServerHealth(() => clock.random(), node.journal);
    stack.use(board.subscribe("members", members => serverHealth.updateMembers(members)));
    const callPipeline = new callPipelines.CallPipeline({
        board,
        requestAdmission,
        agentCaller,
        health: serverHealth,
        now: () => clock.now(),
        random: () => clock.random(),
    });
    const serverSelection = new serverSelections.ServerSelection({
        board,
        dataCentre: settings.data_centre,
        random: () => clock.random(),
        health: serverHealth,
    });
    stack.use(board.subscribe("members", members => serverSelection.retainMembers(members)));
    const versionSelector = new versionSelectors.VersionSelector({
        board,
        wallTime: () => clock.wallTime(),
        isServable: (model, weightsVersion) => serverSelection.isServable(model, weightsVersion),
    });
    const quarantine = new quarantines.QuarantineController(node.sharedDependencies);
    const quarantinePolicy = new quarantinePolicies.QuarantinePolicy({
        decide: fingerprint => quarantine.decide(fingerprint),
        members: () => board.read("members"),
        liveness: node.liveness,
    });
    const chatPipeline = new chatPipelines.ChatPipeline({
        settings,
        board,
        requestAdmission,
        agentCaller,
        servers: serverSelection,
        versions: versionSelector,
        recorder: node.recorder,
        clock,
        journal: node.journal,
        health: serverHealth,
        quarantinePolicy,
    });
    stack.use(await node.listen(() => undefined));
    const schedules = [
        ...node.schedules(),
        { controller: quarantine, intervalMs: quarantines.STEP_INTERVAL_MS },
    ];
    stack.use(new controllerLoops.ControllerLoop(schedules, clock, node.journal));
    stack.use(
        await httpServers.listen(settings, {
            ready: node.isReady,
            checkAvailability: () => checkAvailability(node),
            authorize: head => requestOwners.ownerOf(head, board.read("configuration")),
            memory: node.memory.budget,
            models: request => {
                const hash = authentication.keyHashOf(request.headers.authorization);
                const configuration = board.read("configuration");
                const principal = hash.ok ? authentication.authorize(hash.value, configuration) : hash;
                return principal.ok ? outcomes.succeed(modelLists.modelList(configuration)) : principal;
            },
            chat: chatPipeline.handle,
            call: callPipeline.handle,
            createRequestId: () => clock.identifier(),
        }),
    );
    stack.use(node.drainOnSignal());
    stack.use(node.announceReady());
    await node.drain.finished;
}

/** Fails with `not-ready` until a configuration is in force. */
function checkAvailability(node: nodes.Node): outcomes.Outcome<void> {
    return node.board.read("configuration").version === 0
        ? outcomes.fail("not-ready", "")
        : outcomes.succeed(undefined);
}
