package org.tanagermoor.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.duty.Duty;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.membership.gossip.Input;
import org.tanagermoor.membership.proto.MembershipRequest;
import org.tanagermoor.membership.store.ChangeStore;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.standing.Standing;
import org.tanagermoor.policy.standing.StandingState;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;

/**
 * The plug-in that maintains the membership of this instance: its place in the view, its standing and the configuration
 * that it has adopted.
 */
public final class MembershipPlugin implements Plugin, Membership {

    /** The name by which other plug-ins require this one. */
    public static final String NAME = "membership";

    /** The failure domain of this instance. The setting is required. */
    public static final Setting<String> FAILURE_DOMAIN =
            Setting.ofText("failure-domain", "the failure domain in which this instance runs", null);

    /** The address for callers that the directory announces. */
    public static final Setting<Address> CALLER_ADDRESS =
            Setting.ofAddress("caller-address", "the address for callers and operators, as ip:port", "127.0.0.1:8080");

    /** The address for other instances that the view announces, or empty for the address on which the link listens. */
    public static final Setting<Optional<Address>> ADVERTISED_PEER_ADDRESS = new Setting<>(
            "advertised-peer-address",
            "the address at which other instances reach this one, as ip:port, or own for the one of peer-address",
            MembershipPlugin.OWN,
            MembershipPlugin::parseAdvertised);

    /**
     * The freshness window: how long an instance that knows the latest version may act on it. The same on all
     * instances.
     */
    public static final Setting<Duration> FRESHNESS_WINDOW = Setting.ofMillis(
            "freshness-window-millis",
            "the freshness window in milliseconds, the same on all instances",
            "2000",
            200,
            2_500);

    /** The time between two reads of the head row or two pulls from a peer. */
    public static final Setting<Duration> GOSSIP_INTERVAL = Setting.ofMillis(
            "gossip-interval-millis", "the time between two reads of the head or pulls from a peer", "400", 20, 500);

    /** The time after which a silent member is removed from the view. */
    public static final Setting<Duration> SILENCE_TIMEOUT = Setting.ofMillis(
            "silence-millis", "the time after which a silent member is removed from the view", "3000", 200, 60_000);

    /** The value of {@link #ADVERTISED_PEER_ADDRESS} that stands for the address on which the link listens. */
    private static final String OWN = "own";

    /** The number of ticks of the duty in a gossip interval. */
    private static final int TICKS_PER_INTERVAL = 6;

    /** The capacity of the ring buffer of the duty, in inputs. */
    private static final int RING_CAPACITY = 8_192;

    /** The maximum time for removing this instance from the view at a stop. */
    private static final Duration REMOVAL_TIMEOUT = Duration.ofMillis(1_500);

    /** The adopted ledger, or {@code null} before the start. */
    @Nullable
    private LocalReplica replica;

    /** This instance, or {@code null} before the start. */
    @Nullable
    private Member self;

    /** Records changes, or {@code null} before the start. */
    @Nullable
    private Changes changes;

    /** The log of events, or {@code null} before the start. */
    @Nullable
    private EventLog events;

    /** The running duty, or {@code null} before the start and after the stop. */
    @Nullable
    private volatile Duty<Input> duty;

    /** {@inheritDoc} */
    @Override
    public String name() {
        return NAME;
    }

    /** {@inheritDoc} */
    @Override
    public Set<String> requires() {
        return Set.of("platform", "wire");
    }

    /** {@inheritDoc} */
    @Override
    public List<Setting<?>> settings() {
        return List.of(
                FAILURE_DOMAIN,
                CALLER_ADDRESS,
                ADVERTISED_PEER_ADDRESS,
                FRESHNESS_WINDOW,
                GOSSIP_INTERVAL,
                SILENCE_TIMEOUT);
    }

    /** {@inheritDoc} */
    @Override
    public void start(Context context) {
        InstanceId id = context.service(InstanceId.class);
        PeerLink link = context.service(PeerLink.class);
        Timing timing = new Timing(
                context.settings().value(FRESHNESS_WINDOW).toNanos(),
                context.settings().value(GOSSIP_INTERVAL).toNanos(),
                context.settings().value(SILENCE_TIMEOUT).toNanos());
        Member member = Member.of(
                id,
                FailureDomain.of(context.settings().value(FAILURE_DOMAIN)),
                context.settings().value(ADVERTISED_PEER_ADDRESS).orElseGet(link::address),
                context.settings().value(CALLER_ADDRESS));
        ChangeStore store = ChangeStore.of(context.service(TableService.class), context.service(ObjectStore.class));
        LocalReplica localReplica = new LocalReplica(context.events(), StandingState.of(id, timing.window()));
        Committer committer =
                new Committer(store, () -> localReplica.published().ledger(), this::offer);
        long now = context.time().nanos();
        MembershipDuty membershipDuty = new MembershipDuty(
                member, store, link, localReplica, committer, timing, context.events(), this::offer, now);
        events = context.events();
        self = member;
        replica = localReplica;
        changes = committer;
        duty = Duty.start(
                "membership",
                RING_CAPACITY,
                timing.interval() / TICKS_PER_INTERVAL,
                context.time(),
                events,
                membershipDuty);
        link.handle(Channel.MEMBERSHIP, this::handle);
        context.register(Membership.class, this);
        context.register(Changes.class, committer);
    }

    /** {@inheritDoc} */
    @Override
    public void drain() {
        leave();
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        Duty<Input> running = duty;
        if (running == null) {
            return;
        }
        running.offer(new Input.LeaveRequested(true));
        if (configuration().view().member(self().id()).isPresent()) {
            changes()
                    .record(
                            new Change.RemoveMember(self().id()),
                            UUID.randomUUID().toString(),
                            OptionalLong.empty())
                    .flatMap(result ->
                            result.isRight() ? changes().accepted(result.get(), REMOVAL_TIMEOUT) : Mono.just(false))
                    .timeout(REMOVAL_TIMEOUT, Mono.just(false))
                    .block();
        }
        running.close();
        duty = null;
    }

    /** {@inheritDoc} */
    @Override
    public Member self() {
        return requireStarted(self);
    }

    /** {@inheritDoc} */
    @Override
    public Standing standing(long now) {
        return requireStarted(replica).published().standing().standing(now);
    }

    /** {@inheritDoc} */
    @Override
    public Configuration configuration() {
        return requireStarted(replica).published().ledger().configuration();
    }

    /** {@inheritDoc} */
    @Override
    public boolean viewAccepted(long now) {
        return requireStarted(replica).published().ledger().chain().settled();
    }

    /** {@inheritDoc} */
    @Override
    public boolean seenRecently(InstanceId id, long now) {
        StandingState standing = requireStarted(replica).published().standing();
        return standing.answeredWithinWindow(id, now)
                || (standing.standing(now) == Standing.FULL
                        && standing.view().member(id).isPresent()
                        && !requireStarted(replica).isSilent(id));
    }

    /** {@inheritDoc} */
    @Override
    public void onAdopted(Consumer<Configuration> listener) {
        offer(new Input.ListenerAdded(listener));
    }

    /** {@inheritDoc} */
    @Override
    public void leave() {
        offer(new Input.LeaveRequested(false));
    }

    /** Returns the service that records changes. */
    Changes changes() {
        return requireStarted(changes);
    }

    /**
     * Handles a request of a peer by passing it to the duty.
     *
     * @return The answer, or a failure if the request is malformed or the duty does not accept it.
     */
    private Mono<Either<Failure, byte[]>> handle(InstanceId from, byte[] bytes) {
        MembershipRequest request;
        try {
            request = MembershipRequest.parseFrom(bytes);
        } catch (InvalidProtocolBufferException exception) {
            requireStarted(events).record(MembershipEvent.MALFORMED, "from", from);
            return Mono.just(Either.left(failure(Failure.Kind.INVALID, "the request is malformed")));
        }
        return Mono.create(sink -> {
            if (!offer(new Input.RequestReceived(from, request, sink))) {
                sink.success(Either.left(failure(Failure.Kind.OVERLOADED, "the membership duty is busy or stopped")));
            }
        });
    }

    /**
     * Passes an input to the duty.
     *
     * @return Whether it will be handled; {@code false} if the duty is overloaded or not running.
     */
    private boolean offer(Input input) {
        Duty<Input> running = duty;
        return running != null && running.offer(input);
    }

    /** Returns the failure of a request that was not handled. */
    private Failure failure(Failure.Kind kind, String detail) {
        return Failure.notRun(kind, "membership.handle", self().id().toString(), detail);
    }

    /**
     * Returns a value that the start sets.
     *
     * @throws IllegalStateException If the plug-in is not started.
     */
    private static <T> T requireStarted(@Nullable T value) {
        if (value == null) {
            throw new IllegalStateException("The plug-in is not started: " + NAME);
        }
        return value;
    }

    /**
     * Parses the setting {@link #ADVERTISED_PEER_ADDRESS}.
     *
     * @return The address, empty for the one on which the link listens, or a description of what is wrong with the
     *     text.
     */
    private static Either<String, Optional<Address>> parseAdvertised(String text) {
        return text.equals(OWN)
                ? Either.right(Optional.empty())
                : Address.parse(text).map(Optional::of);
    }
}
