# bash completion for beryl-gatewayd
_beryl_gatewayd () {
  local cur=${COMP_WORDS[COMP_CWORD]}
  case $cur in
    -*) COMPREPLY=($(compgen -W '--check-settings --help --version' \
          -- "$cur")) ;;
    *) COMPREPLY=($(compgen -f -X '!*.yaml' -- "$cur")) ;;
  esac
}
complete -F _beryl_gatewayd beryl-gatewayd
