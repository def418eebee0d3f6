/** Assembles the role `entry`: the process that faces callers. */
import * as admissions from "../admission/client.js";
import * as transports from "../admission/transport.js";
import * as live from "../configuration/live-requests.js";
import * as disposal from "../core/disposal.js";
import * as outcomes from "../core/outcome.js";
import * as callers from "../entry/agent-caller.js";
import * as authentication from "../entry/authentication.js";
import * as callPipelines from "../entry/call-pipeline.js";
import * as chatPipelines from "../entry/chat-pipeline.js";
import * as httpServers from "../entry/http-server.js";
import * as modelLists from "../entry/model-list.js";
import * as quarantinePolicies from "../entry/quarantine-policy.js";
import * as requestAdmissions from "../entry/request-admission.js";
import * as serverHealths from "../entry/server-health.js";
import * as serverSelections from "../entry/server-selection.js";
import * as quarantines from "../quarantine/controller.js";
import * as versionSelectors from "../rollout/version-selector.js";
import * as loops from "./loop.js";
import type * as nodes from "./node.js";

/** Runs until the drain has finished. */
export async function run(node: nodes.Node): Promise<void> {
    await using stack = new disposal.DisposalStack();
    stack.use(node);
    const { board, clock, settings } = node;
    stack.use(node.followHolders());
    stack.use(node.followRollouts());
    await node.start();
    const transport = transports.createTransport(node.pool);
    const admission = stack.use(new admissions.AdmissionClient({ board, transport, clock }));
    const requests = stack.use(new live.LiveRequests(board));
    const intake = new requestAdmissions.RequestAdmission({
        settings,
        drain: node.drain,
        liveRequests: requests,
        admission,
        recorder: node.recorder,
        now: () => clock.now(),
    });
    const caller = new callers.AgentCaller({
        address: node.self.address,
        pool: node.pool,
        board,
        requireVersion: node.require,
        connectionRefused: incarnation => node.membership.reportEvidence(incarnation, "refused"),
    });
    const health = new serverHealths.ServerHealth(() => clock.random(), node.journal);
    stack.use(board.subscribe("members", members => health.updateMembers(members)));
    const calls = new callPipelines.CallPipeline({
        board,
        requestAdmission: intake,
        caller,
        health,
        now: () => clock.now(),
        random: () => clock.random(),
    });
    const servers = new serverSelections.ServerSelection({
        board,
        dataCentre: settings.data_centre,
        random: () => clock.random(),
        health,
    });
    stack.use(board.subscribe("members", members => servers.retainMembers(members)));
    const versions = new versionSelectors.VersionSelector({
        board,
        wallTime: () => clock.wallTime(),
        isServable: (model, weightsVersion) => servers.isServable(model, weightsVersion),
    });
    const quarantine = new quarantines.QuarantineController(node.shared);
    const suspicion = new quarantinePolicies.QuarantinePolicy({
        decide: fingerprint => quarantine.decide(fingerprint),
        members: () => board.read("members"),
        liveness: node.liveness,
    });
    const chats = new chatPipelines.ChatPipeline({
        settings,
        board,
        requestAdmission: intake,
        caller,
        servers,
        versions,
        recorder: node.recorder,
        clock,
        journal: node.journal,
        health,
        quarantinePolicy: suspicion,
    });
    stack.use(await node.listen(() => undefined));
    const schedules = [
        ...node.schedules(),
        { controller: quarantine, intervalMs: quarantines.STEP_INTERVAL_MS },
    ];
    stack.use(new loops.ControllerLoop(schedules, clock, node.journal));
    stack.use(
        await httpServers.listen(settings, {
            ready: node.ready,
            checkAvailability: () => openGate(node),
            models: request => {
                const hash = authentication.keyHashOf(request.headers.authorization);
                const configuration = board.read("configuration");
                const principal = hash.ok ? authentication.authorize(hash.value, configuration) : hash;
                return principal.ok ? outcomes.succeed(modelLists.modelList(configuration)) : principal;
            },
            chat: chats.handle,
            call: calls.handle,
            createRequestId: () => clock.identifier(),
        }),
    );
    stack.use(node.drainOnSignal());
    stack.use(node.announceReady());
    await node.drain.finished;
}

function openGate(node: nodes.Node): outcomes.Outcome<void> {
    return node.board.read("configuration").version === 0
        ? outcomes.fail("not-ready", "")
        : outcomes.succeed(undefined);
}
