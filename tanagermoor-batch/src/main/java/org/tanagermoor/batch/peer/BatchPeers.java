package org.tanagermoor.batch.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import org.tanagermoor.batch.proto.BatchAnswer;
import org.tanagermoor.batch.proto.BatchRequest;
import org.tanagermoor.batch.proto.Notice;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.Rendezvous;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;

/** The instances that batch sends requests to. Requests to this instance itself do not use the network. */
public final class BatchPeers {

    /** The step that failures name. */
    private static final String STEP = "batch.peer";

    /** The timeout of the request that announces a job. */
    private static final Duration NOTICE_TIMEOUT = Duration.ofSeconds(1);

    private final PeerLink link;

    private final Membership membership;

    /** Fails all requests until {@link #handle} replaces it. */
    private volatile BiFunction<InstanceId, BatchRequest, Mono<Either<Failure, BatchAnswer>>> handler =
            (from, request) -> Mono.just(Either.left(unavailable()));

    /**
     * Creates the peers. Until {@link #handle} is called, requests to this instance fail.
     *
     * @param link Sends requests to other instances.
     * @param membership The view, which lists the instances.
     */
    public BatchPeers(PeerLink link, Membership membership) {
        this.link = link;
        this.membership = membership;
    }

    /**
     * Sets the handler of the requests to this instance and registers it with the link.
     *
     * @param value Answers a request of an instance.
     */
    public void handle(BiFunction<InstanceId, BatchRequest, Mono<Either<Failure, BatchAnswer>>> value) {
        handler = value;
        link.handle(Channel.BATCH, this::answer);
    }

    /**
     * Sends a request.
     *
     * @param member The member that receives the request.
     * @param request The request.
     * @param timeout The maximum time to wait for the answer.
     * @return The answer, or a failure.
     */
    public Mono<Either<Failure, BatchAnswer>> call(Member member, BatchRequest request, Duration timeout) {
        Mono<Either<Failure, BatchAnswer>> answer =
                member.id().equals(membership.self().id())
                        ? Mono.defer(() -> handler.apply(member.id(), request))
                                .timeout(timeout, Mono.just(Either.left(noAnswerInTime(member))))
                        : Mono.defer(() -> link.call(member, Channel.BATCH, request.toByteArray(), timeout))
                                .map(result -> result.flatMap(bytes -> parse(bytes, member)));
        return answer.onErrorResume(error -> Mono.just(Either.left(
                Failure.unknown(Failure.Kind.INTERNAL, STEP, member.id().toString(), String.valueOf(error)))));
    }

    /**
     * Returns the steward of a job in the view of this instance, or empty if there is none.
     *
     * @param key The key of the job.
     */
    public Optional<Member> steward(JobKey key) {
        return Rendezvous.steward(key.stewardKey(), membership.configuration().view());
    }

    /** Returns the members of the view of this instance. */
    public List<Member> members() {
        return membership.configuration().view().members().values().toJavaList();
    }

    /**
     * Announces a job to its steward. If the notice is lost, a scan finds the job later.
     *
     * @param key The key of the job.
     */
    public void notifySteward(JobKey key) {
        steward(key).ifPresent(member -> notifyMember(member, key));
    }

    /**
     * Announces a job to an instance.
     *
     * @param member The member that is notified.
     * @param key The key of the job.
     */
    public void notifyMember(Member member, JobKey key) {
        Notice notice =
                Notice.newBuilder().setTeam(key.team()).setKey(key.key()).build();
        call(member, BatchRequest.newBuilder().setNotice(notice).build(), NOTICE_TIMEOUT)
                .subscribe();
    }

    /**
     * Answers a request that was received over the link.
     *
     * @param from The identity that the sender stated.
     * @return The answer, or a failure, which is of kind {@link Failure.Kind#INVALID} if the request is
     *     malformed.
     */
    private Mono<Either<Failure, byte[]>> answer(InstanceId from, byte[] request) {
        try {
            return handler.apply(from, BatchRequest.parseFrom(request))
                    .map(result -> result.map(BatchAnswer::toByteArray));
        } catch (InvalidProtocolBufferException exception) {
            return Mono.just(Either.left(
                    Failure.notRun(Failure.Kind.INVALID, STEP, from.toString(), "the request is malformed")));
        }
    }

    /**
     * Parses an answer.
     *
     * @param member The member that answered.
     * @return The answer, or a failure.
     */
    private static Either<Failure, BatchAnswer> parse(byte[] bytes, Member member) {
        try {
            return Either.right(BatchAnswer.parseFrom(bytes));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(
                    Failure.unknown(Failure.Kind.CORRUPT, STEP, member.id().toString(), "the answer is malformed"));
        }
    }

    /** Returns the failure of a request that is sent before the handler is set. */
    private static Failure unavailable() {
        return Failure.notRun(Failure.Kind.UNAVAILABLE, STEP, Failure.LOCAL, "batch has not started");
    }

    /**
     * Returns the failure of a request that was not answered in time. It may have been executed.
     *
     * @param member The member that received the request.
     */
    private static Failure noAnswerInTime(Member member) {
        return Failure.unknown(Failure.Kind.TIMEOUT, STEP, member.id().toString(), "no answer came in time");
    }
}
