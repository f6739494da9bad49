package org.tanagermoor.policy.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.Rendezvous;

/** Selects the instances to which the callers of a team are sent. */
public final class DirectorySelection {

    /** The minimum number of instances per team, so that the others can take over the load of one that is lost. */
    private static final int MIN_INSTANCES = 3;

    /** The number of requests per second for each of which a team gets one more instance. */
    private static final double RATE_PER_INSTANCE = 50;

    private DirectorySelection() {}

    /**
     * Selects the instances for a caller.
     *
     * @param team The team of the caller; empty if it is not known, in which case all usable instances are selected.
     * @param domain The name of the caller's failure domain; the empty string if it is not known.
     * @return The instances, those of the caller's failure domain first.
     */
    public static List<Member> select(Configuration configuration, Optional<Team> team, String domain) {
        List<Member> usable = configuration.usableMembers();
        List<Member> selected = new ArrayList<>(
                team.map(known -> instancesOfTeam(configuration, known, usable)).orElse(usable));
        FailureDomain callerDomain = FailureDomain.of(domain);
        selected.sort(Comparator.comparing((Member member) -> !member.domain().equals(callerDomain)));
        return List.copyOf(selected);
    }

    /**
     * Returns the instances of a team: those that rank first for its name by rendezvous hashing.
     *
     * @param usable The instances to which callers may be sent.
     */
    private static List<Member> instancesOfTeam(Configuration configuration, Team team, List<Member> usable) {
        double rate = team.ratePerSecond() * configuration.preset().rateFactor();
        int count = Math.max(MIN_INSTANCES, (int) Math.ceil(rate / RATE_PER_INSTANCE));
        List<Member> ranked = Rendezvous.ranked(
                team.id().value(), usable, member -> member.id().name());
        return ranked.subList(0, Math.min(count, ranked.size()));
    }
}
