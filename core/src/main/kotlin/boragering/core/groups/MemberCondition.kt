package boragering.core.groups

/** The condition of one member of a group, as the planner derives it from observations. */
internal sealed interface MemberCondition {
    /** The member is ready for its group. */
    data object Ready : MemberCondition

    /** The member is not ready, but is expected to become so. */
    data object Unready : MemberCondition

    /** The member must be replaced. [loadFailed] says that it answers but did not become ready in time. */
    data class Lost(val reason: String, val loadFailed: Boolean = false) : MemberCondition
}

/** Returns the condition of [member] of [group]. A member that has not been observed yet is unready, not lost. */
internal fun PlanningInput.conditionOf(group: Group, member: Member): MemberCondition {
    val seen = observations[member.instance] ?: return MemberCondition.Unready
    val recent = recent(member.instance)
    val lost = when {
        seen.silentFor >= settings.lossLimit -> MemberCondition.Lost("does not report")
        seen.unlistedFor >= settings.absenceLimit -> MemberCondition.Lost("is not in the live list")
        recent != null && recent.incarnation != member.incarnation -> MemberCondition.Lost("was restarted")
        seen.unreadyFor >= settings.loadLimit -> MemberCondition.Lost("did not become ready", loadFailed = true)
        else -> null
    }
    val ready = recent != null && group.isMemberReady(member, recent)
    return lost ?: if (ready) MemberCondition.Ready else MemberCondition.Unready
}

/** Whether all members of [group] are ready. */
internal fun PlanningInput.isWhole(group: Group): Boolean =
    group.members.all { conditionOf(group, it) == MemberCondition.Ready }
