#include <Utilities/chervilpinctl/Completion.h>

namespace Chervilpin::Control {

std::string_view bashCompletion()
{
    return R"(_chervilpinctl() {
    local word="${COMP_WORDS[COMP_CWORD]}" previous="${COMP_WORDS[COMP_CWORD-1]}"
    local commands="apply diff get describe watch delete status create-key create-operator completion"
    local kinds="Team Key UpstreamGroup Route Half Operator"
    case "$previous" in
    -f|--file|--credential-file) COMPREPLY=($(compgen -f -- "$word")); return ;;
    -o|--output) COMPREPLY=($(compgen -W "table json" -- "$word")); return ;;
    get|describe|watch|delete) COMPREPLY=($(compgen -W "$kinds" -- "$word")); return ;;
    completion) COMPREPLY=($(compgen -W "bash zsh" -- "$word")); return ;;
    esac
    case "$word" in
    -*) COMPREPLY=($(compgen -W "--file --server --credential-file --output --dry-run --help" -- "$word")) ;;
    *) COMPREPLY=($(compgen -W "$commands" -- "$word")) ;;
    esac
}
complete -F _chervilpinctl chervilpinctl
)";
}

std::string_view zshCompletion()
{
    return R"(#compdef chervilpinctl
_chervilpinctl() {
    local -a commands kinds
    commands=(apply diff get describe watch delete status create-key create-operator completion)
    kinds=(Team Key UpstreamGroup Route Half Operator)
    case "${words[CURRENT-1]}" in
    -f|--file|--credential-file) _files; return ;;
    -o|--output) compadd table json; return ;;
    get|describe|watch|delete) compadd -a kinds; return ;;
    completion) compadd bash zsh; return ;;
    esac
    compadd -a commands
    compadd -- --file --server --credential-file --output --dry-run --help
}
compdef _chervilpinctl chervilpinctl
)";
}

} // namespace Chervilpin::Control
