package org.tanagermoor.budget;

import com.codahale.metrics.MetricRegistry;
import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Preset;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.wire.link.PeerLink;
import org.tanagermoor.wire.link.TcpPeerLink;

/** Instances within one process that share budgets over real links. */
final class Fleet implements AutoCloseable {

    private static final Address ANY_PORT = Address.of("127.0.0.1", 0);

    final List<Instance> instances = new ArrayList<>();

    private long version;

    Fleet(int size, BudgetPlugin.Mode mode) {
        for (int index = 0; index < size; index++) {
            instances.add(new Instance(InstanceId.of("i" + index, index + 1L), mode));
        }
    }

    void adopt(List<Team> teams) {
        adopt(teams, Preset.ORDINARY);
    }

    void adopt(List<Team> teams, Preset preset) {
        version++;
        Configuration empty = Configuration.EMPTY;
        View view = View.of(1, instances.stream().map(Instance::member).toList());
        HashMap<TeamId, Team> byName = HashMap.ofEntries(
                teams.stream().map(team -> io.vavr.Tuple.of(team.id(), team)).toList());
        Configuration configuration = new Configuration(
                version,
                "change" + version,
                empty.presetInForce(),
                HashMap.of(preset.name(), preset),
                byName,
                empty.keys(),
                empty.services(),
                empty.targets(),
                empty.domainsOut(),
                view);
        instances.forEach(instance -> instance.membership.adopt(configuration));
    }

    @Override
    public void close() {
        instances.forEach(Instance::close);
    }

    /** One instance with its own link, membership and plug-in. */
    static final class Instance {

        final TcpPeerLink link;

        final FakeMembership membership;

        final MetricRegistry metrics = new MetricRegistry();

        final Budgets budgets;

        private final BudgetPlugin plugin = new BudgetPlugin();

        private Instance(InstanceId id, BudgetPlugin.Mode mode) {
            EventLog events = new EventLog.Disabled();
            link = TcpPeerLink.of(id, ANY_PORT, events, TimeSource.ForSystem.INSTANCE);
            membership = new FakeMembership(Member.of(id, FailureDomain.of("d"), link.address(), link.address()));
            String text = mode == BudgetPlugin.Mode.LENT ? "lent" : "static";
            Settings settings = Settings.parse(plugin.settings(), List.of("--budget-mode", text), Map.of())
                    .get();
            Context context = Context.of(settings, events, metrics, TimeSource.ForSystem.INSTANCE);
            context.register(Membership.class, membership);
            context.register(PeerLink.class, link);
            plugin.start(context);
            budgets = context.service(Budgets.class);
        }

        Member member() {
            return membership.self();
        }

        void close() {
            plugin.stop();
            link.close();
        }
    }
}
