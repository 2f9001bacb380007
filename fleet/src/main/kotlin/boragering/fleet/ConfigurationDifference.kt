package boragering.fleet

import boragering.core.catalogue.DifferenceKind
import kotlinx.serialization.Serializable

/**
 * One difference between two configurations. [name] identifies a route, a service, an organisation or the limits;
 * [fields] lists the values that differ if both configurations contain [name].
 */
@Serializable
data class ConfigurationDifference(
    val name: String,
    val kind: DifferenceKind,
    val fields: List<FieldDifference> = emptyList(),
)
