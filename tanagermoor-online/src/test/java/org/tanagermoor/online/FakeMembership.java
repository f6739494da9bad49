package org.tanagermoor.online;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.standing.Standing;

final class FakeMembership implements Membership {

    final CountDownLatch left = new CountDownLatch(1);
    volatile Standing standing = Standing.FULL;
    volatile Configuration configuration = Configuration.EMPTY;
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private final Member self;

    FakeMembership(String name) {
        Address address = Address.of("127.0.0.1", 1);
        self = Member.of(InstanceId.of(name, 1), FailureDomain.of("a"), address, address);
    }

    synchronized void adopt(UnaryOperator<Configuration> change) {
        configuration = change.apply(configuration);
        listeners.forEach(listener -> listener.accept(configuration));
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
        return true;
    }

    @Override
    public boolean seenRecently(InstanceId id, long now) {
        return true;
    }

    @Override
    public void onAdopted(Consumer<Configuration> listener) {
        listeners.add(listener);
        listener.accept(configuration);
    }

    @Override
    public void leave() {
        left.countDown();
    }
}
