package org.tanagermoor.target.lease;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.standing.Standing;

/** A membership whose state a test sets. */
public final class FakeMembership implements Membership {

    private final Member self;

    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

    private volatile Configuration configuration = Configuration.EMPTY;

    public volatile Standing standing = Standing.FULL;

    public volatile boolean accepted = true;

    public FakeMembership(Member self) {
        this.self = self;
    }

    public synchronized void adopt(Configuration value) {
        configuration = value;
        listeners.forEach(listener -> listener.accept(value));
    }

    @Override
    public Member self() {
        return self;
    }

    @Override
    public Standing standing(long now) {
        return standing;
    }

    @Override
    public Configuration configuration() {
        return configuration;
    }

    @Override
    public boolean viewAccepted(long now) {
        return accepted;
    }

    @Override
    public boolean seenRecently(InstanceId id, long now) {
        return true;
    }

    @Override
    public synchronized void onAdopted(Consumer<Configuration> listener) {
        listeners.add(listener);
        listener.accept(configuration);
    }

    @Override
    public void leave() {
        // Nothing to leave.
    }
}
