package io.lavenderhinge.instance.membership

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.protocol.v1.Member

/** Converts members of the live list to and from protobuf messages. */
internal object MemberCodec {
    fun encode(member: ListedMember): Member =
        Member.newBuilder()
            .setId(member.id)
            .setKindValue(member.kind.ordinal + 1)
            .setAddress(member.address)
            .setFailureDomain(member.failureDomain)
            .setRegion(member.region)
            .setLeaving(member.leaving)
            .setServes(member.serves)
            .setVersion(member.version)
            .setHardwareGeneration(member.hardwareGeneration)
            .setChecksOrders(member.checksOrders)
            .build()

    /** Returns the member, or null when this release does not know its kind. */
    fun decode(member: Member): ListedMember? {
        val kind = MemberKind.entries.getOrNull(member.kindValue - 1) ?: return null
        return ListedMember(
            id = member.id,
            kind = kind,
            address = member.address,
            failureDomain = member.failureDomain,
            region = member.region,
            leaving = member.leaving,
            serves = member.serves,
            version = member.version,
            hardwareGeneration = member.hardwareGeneration,
            checksOrders = member.checksOrders,
        )
    }
}
