package org.tanagermoor.membership.codec;

import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.membership.proto.AddressMessage;
import org.tanagermoor.membership.proto.InstanceMessage;
import org.tanagermoor.membership.proto.MemberMessage;
import org.tanagermoor.membership.proto.ViewMessage;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.View;

/** Converts members and views to and from their protobuf form. */
final class FleetCodec {

    private FleetCodec() {}

    static AddressMessage encode(Address address) {
        return AddressMessage.newBuilder()
                .setHost(address.host())
                .setPort(address.port())
                .build();
    }

    static Address decode(AddressMessage message) {
        return Address.of(message.getHost(), message.getPort());
    }

    static InstanceMessage encode(InstanceId id) {
        return InstanceMessage.newBuilder()
                .setName(id.name())
                .setIncarnation(id.incarnation())
                .build();
    }

    static InstanceId decode(InstanceMessage message) {
        return InstanceId.of(message.getName(), message.getIncarnation());
    }

    static MemberMessage encode(Member member) {
        return MemberMessage.newBuilder()
                .setId(encode(member.id()))
                .setDomain(member.domain().value())
                .setPeerAddress(encode(member.peerAddress()))
                .setCallerAddress(encode(member.callerAddress()))
                .setLeaving(member.leaving())
                .build();
    }

    static Member decode(MemberMessage message) {
        return new Member(
                decode(message.getId()),
                FailureDomain.of(message.getDomain()),
                decode(message.getPeerAddress()),
                decode(message.getCallerAddress()),
                message.getLeaving());
    }

    static ViewMessage encode(View view) {
        ViewMessage.Builder message = ViewMessage.newBuilder().setVersion(view.version());
        view.members().values().forEach(member -> message.addMembers(encode(member)));
        return message.build();
    }

    static View decode(ViewMessage message) {
        return View.of(
                message.getVersion(),
                message.getMembersList().stream().map(FleetCodec::decode).toList());
    }
}
