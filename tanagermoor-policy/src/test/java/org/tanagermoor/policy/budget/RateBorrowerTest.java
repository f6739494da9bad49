package org.tanagermoor.policy.budget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.policy.fleet.View;

class RateBorrowerTest {

    private static final long MILLI = 1_000_000;

    private static final InstanceId SELF = InstanceId.of("e1", 1);

    private static final Address ADDRESS = Address.of("127.0.0.1", 1);

    private final RateBorrower<String> borrower = RateBorrower.create();

    @Test
    void anOutdatedAnswerOfTheStewardRefusesNoRequestAfterAPause() {
        TeamId team = TeamId.of("alder");
        borrower.adopt(configuration(HashMap.of(team, Team.of(team, 100, 3, 1))), 0);
        assertThat(borrower.take("team/alder", 1, 0), is(false));
        borrower.await("team/alder", new ShareWaiter<>("request", 1, 0, 30_000 * MILLI), 0);
        answerEmpty(5 * MILLI);

        assertThat(borrower.tick(2_000 * MILLI), empty());

        answerEmpty(2_000 * MILLI);
        assertThat(
                borrower.tick(2_001 * MILLI).stream().map(ShareOutcome::result).toList(),
                is(List.of(ShareOutcome.Result.USED_UP)));
    }

    /** Answers every pending request with nothing lent. */
    private void answerEmpty(long now) {
        Map<InstanceId, LoanRequest> requests = borrower.requests(now);
        requests.forEach((steward, loanRequest) -> borrower.answer(
                steward,
                new LoanResponse(
                        loanRequest.sequence(),
                        loanRequest.items().stream()
                                .map(item -> new LoanResponse.Loan(item.key(), LoanResponse.Status.EMPTY, 0, 20))
                                .toList()),
                now));
    }

    private static Configuration configuration(HashMap<TeamId, Team> teams) {
        View view = View.of(1, List.of(Member.of(SELF, FailureDomain.of("d1"), ADDRESS, ADDRESS)));
        Configuration empty = Configuration.EMPTY;
        return new Configuration(
                1,
                "change",
                empty.presetInForce(),
                empty.presets(),
                teams,
                empty.keys(),
                empty.services(),
                empty.targets(),
                empty.domainsOut(),
                view);
    }
}
